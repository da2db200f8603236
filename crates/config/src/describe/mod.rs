//! The schema, the commented default and the reference page, all made from the types.
mod default_file;
mod reference_page;
mod schema;

pub use default_file::{DescribeError, commented_default};
pub use reference_page::reference_page;
pub use schema::schema;
