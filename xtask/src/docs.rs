//! Checks that the files, metrics and settings that the docs name exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders that hold no source of ours.
const SKIPPED: [&str; 2] = ["target", ".git"];
/// Words in backticks that begin so name a metric.
const METRIC: &str = "dockgate_";
/// Endings of words in backticks that name a setting of time or a count.
const SETTINGS: [&str; 3] = ["_ms", "_bytes", "_file"];

/// Collects the files of the tree with one of the endings.
fn files(folder: &Path, endings: &[&str], found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        match path.is_dir() {
            true if SKIPPED.contains(&name.as_str()) => {}
            true => files(&path, endings, found),
            false if endings.iter().any(|ending| name.ends_with(ending)) => found.push(path),
            false => {}
        }
    }
}

/// Returns the words that stand in backticks.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`')
        .skip(1)
        .step_by(2)
        .filter(|word| !word.contains(char::is_whitespace))
}

/// Returns the targets of links to files.
fn linked(text: &str) -> impl Iterator<Item = &str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split([')', '#']).next())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

/// Checks every page; prints what is named and does not exist, and returns whether all exists.
pub(crate) fn check_docs() -> bool {
    let (mut pages, mut sources) = (Vec::new(), Vec::new());
    files(Path::new("."), &[".md"], &mut pages);
    files(Path::new("."), &[".rs", ".ini"], &mut sources);
    let code: String = sources
        .iter()
        .filter_map(|path| fs::read_to_string(path).ok())
        .collect();
    let mut missing = BTreeSet::new();
    for page in &pages {
        let text = fs::read_to_string(page).unwrap_or_default();
        let mut report = |what: &str| missing.insert(format!("{}: {what}", page.display()));
        let folder = page.parent().unwrap_or(Path::new("."));
        for target in linked(&text).filter(|target| !folder.join(target).exists()) {
            report(target);
        }
        for word in quoted(&text) {
            let is_metric = word.starts_with(METRIC);
            let is_setting = SETTINGS.iter().any(|ending| word.ends_with(ending));
            let is_flag = word.starts_with("--");
            let is_file = word.contains('/') && word.ends_with(".rs");
            let exists = match word {
                word if is_metric || is_setting => code.contains(&format!("\"{word}\"")),
                word if is_flag => code.contains(&word[2..].replace('-', "_")),
                word if is_file => sources.iter().any(|path| path.ends_with(word)),
                _ => true,
            };
            if !exists {
                report(word);
            }
        }
    }
    for line in &missing {
        eprintln!("xtask: the docs name what does not exist: {line}");
    }
    missing.is_empty()
}
