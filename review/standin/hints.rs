//! Estimates of output tokens that are off for a while, and a demand that then moves to the model.

use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Ask, End, StreamClient};
use crate::deployment::{Deployment, EngineKind};
use crate::engine::{SLOTS, TOKENS_PER_EVENT};
use crate::record::Record;

/// The time that clients have.
const DEADLINE: Duration = Duration::from_secs(20);

/// The rounds of the day; in each, the demand moves once.
const ROUNDS: u32 = 3;

/// The short answers of the tagging kind in a round, and the clients that ask for them.
const TAGS: usize = 4_800;
const TAG_CLIENTS: usize = 12;

/// The long streams in a round. The two engines, which hold both models, have fewer slots.
const DRAFTS: usize = 2 * SLOTS as usize + 52;

/// A draft whose answer is one event; the client's estimate is right.
fn short_draft(model: &'static str) -> Ask {
    Ask { path: "/resume/short", model, tokens: (400, 80), hint: Some(TOKENS_PER_EVENT) }
}

/// A long draft; the client's estimate is right.
fn long_draft(model: &'static str) -> Ask {
    Ask { path: "/resume/long", model, tokens: (400, 256), hint: Some(110 * TOKENS_PER_EVENT) }
}

/// A tag: one event of two tokens, of which the client expects none.
const TAG: Ask = Ask { path: "/resume/short", model: "m1", tokens: (400, 16), hint: Some(0) };

/// Asks for short answers from some clients in parallel. Returns how many were whole.
fn ask_many(name: &str, ask: Ask, count: usize, boxes: &[String], record: &Record) -> usize {
    let clients: Vec<_> = (0..TAG_CLIENTS)
        .map(|client| {
            let (address, record) = (boxes[client % boxes.len()].clone(), record.clone());
            let name = format!("{name}{client:02}");
            thread::spawn(move || {
                let one = |number| {
                    let name = format!("{name}n{number}");
                    StreamClient::new(name, ask, DEADLINE, &record).attempt_quietly(&address)
                };
                (0..count / TAG_CLIENTS).filter(|number| one(*number) == End::Whole).count()
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().expect("a client ends")).sum()
}

/// In each round, drafts ask for the model `m1`, then for `m2`, while tags ask for `m1`. Then, with trouble, the demand for
/// drafts moves to `m1` again; without, it stays at `m2`.
pub fn crash(has_trouble: bool, record: &Record) -> Outcome {
    let engine = EngineKind { version: "v1", records_runs: false };
    let mut deployment = Deployment::start(&[engine; 2], record)?;
    let boxes = deployment.addresses();
    let mut ends = vec![0; boxes.len()];
    for round in 1..=ROUNDS {
        let before = ask_many(&format!("a{round}c"), short_draft("m1"), 60, &boxes, record);
        record.note(format!("round {round}: {before} of 60 drafts at m1 are answered"));
        let others = {
            let (boxes, record) = (boxes.clone(), record.clone());
            let name = format!("d{round}c");
            thread::spawn(move || ask_many(&name, short_draft("m2"), TAGS, &boxes, &record))
        };
        let tags = ask_many(&format!("t{round}c"), TAG, TAGS, &boxes, record);
        let others = others.join().expect("the clients end");
        record.note(format!("round {round}: {tags} of {TAGS} tags at m1 are answered"));
        record.note(format!("round {round}: {others} of {TAGS} drafts at m2 are answered"));
        if tags < TAGS / 2 {
            return Err("too few requests were answered".to_owned());
        }
        let model = if has_trouble { "m1" } else { "m2" };
        record.note(format!("round {round}: {DRAFTS} long drafts ask for {model}"));
        let drafts: Vec<_> = (0..DRAFTS)
            .map(|number| {
                let (address, record) = (boxes[number % boxes.len()].clone(), record.clone());
                let name = format!("l{round}c{number:03}");
                thread::spawn(move || {
                    sleep(Duration::from_millis(5) * number as u32);
                    let mut client = StreamClient::new(name, long_draft(model), DEADLINE, &record);
                    let leave_at = Some(Instant::now() + Duration::from_secs(4));
                    client.attempt(&address, leave_at)
                })
            })
            .collect();
        let drafts: Vec<End> =
            drafts.into_iter().map(|draft| draft.join().expect("a client ends")).collect();
        let count = |end: &End| drafts.iter().filter(|other| *other == end).count();
        record.note(format!(
            "round {round}: of the long drafts, {} were read until the client left, {} broke off, {} \
             got no connection",
            count(&End::Left),
            count(&End::Broken),
            count(&End::Refused)
        ));
        for (index, one) in deployment.boxes.iter_mut().enumerate() {
            if let Some(status) = one.own_end() {
                ends[index] += 1;
                record.note(format!("{} has ended by itself: {status}", one.name));
                record.note(format!("its last words: {}", one.last_words()));
                one.spawn().map_err(|error| error.to_string())?;
            }
        }
        deployment.wait_ready()?;
        sleep(Duration::from_secs(3));
    }
    deployment.engines.iter().for_each(|engine| engine.record_runs());
    record.note(format!("ends of the boxes' processes by themselves: {ends:?}"));
    // On a tenth of the machines, two at least, processes end by themselves three times in the day.
    Ok(ends.iter().filter(|count| **count >= 3).count() < 2)
}
