//! Checks that the names which leave a process still exist in the sources.
//!
//! `docs/operators/outer-names.txt` lists them, one a line below `[kind: folders]`. Guards against
//! renamed message fields, metrics and settings, which compile but break their readers.

use std::fs;
use std::path::Path;

const FILE: &str = "docs/operators/outer-names.txt";
/// Extensions of files to search: sources, settings and the deploy file.
const SOURCE_EXTENSIONS: [&str; 3] = ["rs", "ini", "toml"];

/// Names of one kind and the folders that use them.
struct NameGroup<'a> {
    kind: &'a str,
    folders: Vec<&'a str>,
    names: Vec<&'a str>,
}

fn parse(text: &str) -> Vec<NameGroup<'_>> {
    let mut groups: Vec<NameGroup> = Vec::new();
    let lines = text.lines().filter(|line| !line.is_empty());
    for line in lines.filter(|line| !line.starts_with('#')) {
        let header = line
            .strip_prefix('[')
            .and_then(|header| header.strip_suffix(']'))
            .and_then(|header| header.split_once(": "));
        match (header, groups.last_mut()) {
            (Some((kind, folders)), _) => groups.push(NameGroup {
                kind,
                folders: folders.split(' ').collect(),
                names: Vec::new(),
            }),
            (None, Some(group)) => group.names.push(line),
            (None, None) => {}
        }
    }
    groups
}

/// Appends the code of a folder, without comments and tests.
fn read_code(folder: &Path, code: &mut String) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        let stem = path.file_stem().unwrap_or_default().to_string_lossy();
        let extension = path.extension().unwrap_or_default().to_string_lossy();
        let is_source = SOURCE_EXTENSIONS.contains(&extension.as_ref());
        match path.is_dir() {
            _ if stem == "benches" || stem.ends_with("tests") => {}
            true => read_code(&path, code),
            false if is_source => {
                let text = fs::read_to_string(&path).unwrap_or_default();
                let lines = text.lines().filter(|line| !line.trim().starts_with("//"));
                lines.for_each(|line| {
                    code.push_str(line);
                    code.push('\n');
                });
            }
            false => {}
        }
    }
}

/// Returns the spellings of a name in code: the name itself, as a field of a flag, and as an enum
/// variant.
fn spellings(name: &str) -> [String; 3] {
    let field = name.trim_start_matches("--").replace('-', "_");
    let variant = field.split('_').map(|word| {
        let (first, rest) = word.split_at(word.len().min(1));
        first.to_uppercase() + rest
    });
    let variant = variant.collect();
    [name.to_owned(), field, variant]
}

/// Returns whether code contains a name as a whole word.
fn has_word(code: &str, name: &str) -> bool {
    let is_word_char = |character: char| character.is_alphanumeric() || character == '_';
    code.match_indices(name).any(|(at, _)| {
        let before = code[..at].chars().next_back();
        let after = code[at + name.len()..].chars().next();
        !before.is_some_and(is_word_char) && !after.is_some_and(is_word_char)
    })
}

/// Returns the listed names that are missing in the sources of their kind.
pub(crate) fn missing_names(root: &Path) -> Vec<String> {
    let text = fs::read_to_string(root.join(FILE)).unwrap_or_default();
    let groups = parse(&text);
    if groups.is_empty() {
        return vec![format!("{FILE}: has no names")];
    }
    let mut missing = Vec::new();
    for group in groups {
        let mut code = String::new();
        for folder in &group.folders {
            read_code(&root.join(folder), &mut code);
        }
        let absent = group.names.into_iter().filter(|name| {
            let is_found = spellings(name)
                .iter()
                .any(|spelling| has_word(&code, spelling));
            !is_found
        });
        missing.extend(absent.map(|name| format!("{}: {name}", group.kind)));
    }
    missing
}

#[cfg(test)]
mod tests;
