//! One request's story, put together from the logs of all boxes.
//!
//! Besides the request's own lines, the
//! story shows what each box concerned had last learned of routes, store and endpoints before it.

use crate::error::CtlError;
use crate::story_line::{StoryLine, read_lines};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Events that tell what a box believed; the last one of each kind and subject is shown.
const BELIEFS: [&str; 9] = [
    "routes_in_force",
    "store_lost",
    "store_back",
    "endpoints_listed",
    "endpoint_ready",
    "endpoint_draining",
    "endpoint_gone",
    "box_gone",
    "stopping",
];

/// Tells the story of a request from lines of logs; none where no line names it.
fn explain(id: &str, lines: &[StoryLine]) -> Option<String> {
    let mut own: Vec<&StoryLine> = lines
        .iter()
        .filter(|line| line.text("request") == id)
        .collect();
    own.sort_by_key(|line| line.at_ms);
    let first = own.first()?.at_ms;
    let last = own.last()?.at_ms;
    let boxes: BTreeSet<&str> = own.iter().map(|line| line.box_name.as_str()).collect();
    let endpoints: BTreeSet<&str> = own.iter().flat_map(|line| line.endpoints()).collect();
    let mut believed: BTreeMap<(&str, &str, &str), &StoryLine> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.at_ms <= last) {
        let (box_name, kind) = (line.box_name.as_str(), line.kind());
        let subject = line.text("endpoint");
        let concerns = boxes.contains(box_name) && BELIEFS.contains(&kind);
        if concerns && (subject.is_empty() || endpoints.contains(subject)) {
            let known = believed.entry((box_name, kind, subject)).or_insert(line);
            if known.at_ms <= line.at_ms {
                *known = line;
            }
        }
    }
    let mut believed: Vec<&StoryLine> = believed.into_values().collect();
    believed.sort_by_key(|line| line.at_ms);
    let mut story = format!("request {id}; times in milliseconds from its first line\n\nbefore:\n");
    for line in &believed {
        story.push_str(&line.render(first));
        story.push('\n');
    }
    story.push_str("\nthe request:\n");
    for line in &own {
        story.push_str(&line.render(first));
        story.push('\n');
    }
    Some(story)
}

/// Prints the story of a request.
///
/// # Errors
///
/// Returns an error where a file cannot be read, or no line names the request.
pub(crate) fn print_story(id: &str, files: &[PathBuf]) -> Result<(), CtlError> {
    let lines = read_lines(files)?;
    let story = explain(id, &lines).ok_or_else(|| {
        CtlError::Intent(format!(
            "{} lines with events, none of which names {id}",
            lines.len()
        ))
    })?;
    print!("{story}");
    Ok(())
}

#[cfg(test)]
mod tests;
