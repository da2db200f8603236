//! Checks that each relative link in the README and in the pages of `docs` leads to an existing file.
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the Markdown files in a folder and its subfolders.
fn markdown_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder)
        .expect("a readable folder")
        .map(|entry| entry.expect("a readable folder entry").path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let files = files.into_iter().filter(|path| path.extension().is_some_and(|extension| extension == "md"));
    files.chain(folders.iter().flat_map(|folder| markdown_files(folder))).collect()
}

/// Returns the targets of a text's inline links and reference definitions, outside of code blocks.
fn link_targets(text: &str) -> Vec<&str> {
    let prose = text.split("```").step_by(2);
    let inline =
        prose.clone().flat_map(|prose| prose.split("](").skip(1).filter_map(|rest| rest.split(')').next()));
    let definitions = prose.flat_map(str::lines).filter_map(|line| {
        let (_, target) = line.strip_prefix('[')?.split_once("]: ")?;
        Some(target)
    });
    inline.chain(definitions).map(|target| target.split_whitespace().next().unwrap_or_default()).collect()
}

/// Returns the file that a link leads to, if it is a relative link to another file.
fn linked_file(page: &Path, target: &str) -> Option<PathBuf> {
    let path = target.split('#').next().expect("a split text has a first part");
    let is_relative = !path.is_empty() && !path.contains(':') && !path.starts_with('/');
    is_relative.then(|| page.parent().expect("a parent folder").join(path))
}

#[test]
fn each_relative_link_leads_to_a_file() {
    let pages = markdown_files(&root().join("docs")).into_iter().chain([root().join("README.md")]);
    let (mut broken, mut count) = (Vec::new(), 0);
    for page in pages {
        let text = fs::read_to_string(&page).expect("a readable page in UTF-8");
        for target in link_targets(&text) {
            let Some(file) = linked_file(&page, target) else { continue };
            count += 1;
            if !file.exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(count > 20, "only {count} links were found");
}
