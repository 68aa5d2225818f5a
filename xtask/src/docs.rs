//! Checks that files, metrics, settings and flags named in the docs exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders without sources of the workspace.
const SKIPPED: [&str; 2] = ["target", ".git"];
/// Prefix of words in backticks that name a metric.
const METRIC_PREFIX: &str = "dockgate_";
/// Suffixes of words in backticks that name a setting.
const SETTING_SUFFIXES: [&str; 3] = ["_ms", "_bytes", "_file"];

/// Adds the files below a folder whose names have one of the suffixes.
fn collect_files(folder: &Path, suffixes: &[&str], found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        match path.is_dir() {
            true if SKIPPED.contains(&name.as_str()) => {}
            true => collect_files(&path, suffixes, found),
            false if suffixes.iter().any(|suffix| name.ends_with(suffix)) => found.push(path),
            false => {}
        }
    }
}

/// Returns the words in backticks.
fn code_words(text: &str) -> impl Iterator<Item = &str> {
    text.split('`')
        .skip(1)
        .step_by(2)
        .filter(|word| !word.contains(char::is_whitespace))
}

/// Returns the targets of links to files.
fn link_targets(text: &str) -> impl Iterator<Item = &str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split([')', '#']).next())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

/// Checks every page and prints missing names; returns whether all exist.
pub(crate) fn check_docs() -> bool {
    let (mut pages, mut sources) = (Vec::new(), Vec::new());
    collect_files(Path::new("."), &[".md"], &mut pages);
    collect_files(Path::new("."), &[".rs", ".ini"], &mut sources);
    let code: String = sources
        .iter()
        .filter_map(|path| fs::read_to_string(path).ok())
        .collect();
    let mut missing = BTreeSet::new();
    for page in &pages {
        let text = fs::read_to_string(page).unwrap_or_default();
        let mut report = |name: &str| missing.insert(format!("{}: {name}", page.display()));
        let folder = page.parent().unwrap_or(Path::new("."));
        for target in link_targets(&text).filter(|target| !folder.join(target).exists()) {
            report(target);
        }
        for word in code_words(&text) {
            let is_metric = word.starts_with(METRIC_PREFIX);
            let is_setting = SETTING_SUFFIXES.iter().any(|suffix| word.ends_with(suffix));
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
        eprintln!("xtask: the docs name something that does not exist: {line}");
    }
    missing.is_empty()
}
