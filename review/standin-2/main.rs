//! Plays a case of the review: boxes as processes between stand-ins for clients, engines and the platform.
//!
//! `standin CASE FOLDER` writes FOLDER/record.txt and ends with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out. The names of the platform's headers and
//! paths are those of the project's own adapter.

mod boxes;
mod cases;
mod engine;
mod http;
mod json;
#[allow(dead_code)]
#[path = "../../platform/src/names.rs"]
mod names;
mod record;
mod store;

use std::path::PathBuf;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("standin CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A panic ends with 2 after the boxes were ended.
    let played = std::panic::catch_unwind(|| cases::play(case, &folder, has_trouble));
    std::process::exit(match played {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) | Err(_) => 2,
    });
}
