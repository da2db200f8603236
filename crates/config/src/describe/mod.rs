//! Generates three descriptions of the configuration from its types: the JSON Schema, the commented default
//! file and the reference page.
mod default_file;
mod reference_page;
mod schema;

pub use default_file::{DescribeError, commented_default};
pub use reference_page::reference_page;
pub use schema::schema;
