//! Stand-ins for the platform, its engines and its clients, and the cases that run the project's program between them.
//!
//! The names of the platform's headers and paths are those of the project's own adapter.
//!
//! Usage: standin CASE FOLDER, at the root of the repository. With TROUBLE=0 in the environment, without the disruption.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod boxes;
mod client;
mod deployment;
mod engine;
mod hints;
mod http;
mod json;
#[allow(dead_code)]
#[path = "../../platform/src/names.rs"]
mod names;
mod record;
mod store;
mod uploads;
mod versions;

use std::process::exit;

use record::Record;

/// The result of a case: whether the rule held, or why the case couldn't run.
pub type Outcome = Result<bool, String>;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let outcome = match case.as_str() {
        "joined-versions" => versions::joined(has_trouble, &record),
        "lost-streams" => versions::lost(has_trouble, &record),
        "crashing-estimates" => hints::crash(has_trouble, &record),
        "over-memory" => uploads::over_memory(has_trouble, &record),
        _ => Err(format!("there is no case {case}")),
    };
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(cause) => (format!("the case couldn't run: {cause}"), 2),
    };
    record.note(text.clone());
    record.save(&format!("{folder}/record.txt"));
    println!("{case}, trouble {has_trouble}: {text}");
    exit(code);
}
