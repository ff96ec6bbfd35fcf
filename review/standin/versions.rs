//! Streams over two software versions of one service.

use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::{Ask, End, StreamClient};
use crate::deployment::{Deployment, EngineKind};
use crate::record::Record;

/// A resumable stream.
const ASK: Ask = Ask { path: "/resume/1", model: "m1", tokens: (400, 256), hint: Some(220) };

/// The time that clients have, as on the route `contract-read` of Rueda Lima.
const DEADLINE: Duration = Duration::from_secs(20);

/// Reads a stream at one box until it ends, breaks off, or the client leaves; then takes it up at other boxes.
fn follow(
    client: &mut StreamClient,
    boxes: &[String],
    first: usize,
    leave_at: Option<Instant>,
    resume: impl Fn(u32) -> Duration,
    max_tries: u32,
) {
    let mut end = client.attempt(&boxes[first % boxes.len()], leave_at);
    for number in 1..=max_tries {
        if end == End::Whole || client.time_left() < Duration::from_millis(500) {
            break;
        }
        let wait = match end {
            // A refusal says when to come back; no client waits for over a third of its time.
            End::Status(_, Some(wait)) => wait.min(client.time_left() / 3),
            _ => resume(number),
        };
        sleep(wait);
        end = client.attempt(&boxes[(first + number as usize) % boxes.len()], None);
    }
}

/// The second half of a service's engines is replaced by engines of the next version. Then the machines are stopped and
/// started in turn, and clients whose streams are cut off take them up again.
pub fn joined(has_trouble: bool, record: &Record) -> Outcome {
    const STREAMS: usize = 36;
    let mut deployment =
        Deployment::start(&["v1", "v1", "v2", "v2"].map(EngineKind::of_version), record)?;
    let boxes = deployment.addresses();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (boxes, record) = (boxes.clone(), record.clone());
            thread::spawn(move || {
                let mut client = StreamClient::new(format!("c{number:02}"), ASK, DEADLINE, &record);
                let pause = |_| Duration::from_millis(1_000);
                follow(&mut client, &boxes, number, None, pause, 4);
                client
            })
        })
        .collect();
    sleep(Duration::from_millis(500));
    // The release: a new engine joins, then an old one leaves. The old ones never say that they drain; their entries go,
    // and they serve on.
    let old = deployment.engines[..2].to_vec();
    for engine in &old {
        deployment.add_engine(EngineKind::of_version("v2")).join();
        sleep(Duration::from_millis(500));
        engine.leave();
        sleep(Duration::from_millis(500));
    }
    let ended = thread::spawn(move || {
        sleep(Duration::from_secs(16));
        old.iter().for_each(|engine| engine.end());
    });
    if has_trouble {
        deployment.roll(&[1, 2, 0], Duration::from_secs(2))?;
    }
    let clients: Vec<StreamClient> =
        clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    let _ = ended.join();
    let mut mixed = 0;
    for client in &clients {
        let versions = client.versions();
        mixed += usize::from(versions.len() > 1);
        let (name, events) = (&client.name, client.events.len());
        record.note(format!("stream {name}: {events} events, of the versions {versions:?}"));
    }
    record.note(format!("{mixed} of {STREAMS} streams hold events of two software versions"));
    if clients.iter().any(|client| client.events.is_empty()) {
        return Err("a stream did not begin".to_owned());
    }
    Ok(mixed <= 2)
}

/// The connections of the clients at one machine break: with trouble, since its process is killed; without, since the
/// clients close them. Then a release begins, so that two versions serve side by side, and the clients take up their
/// streams at the other machines.
pub fn lost(has_trouble: bool, record: &Record) -> Outcome {
    const STREAMS: usize = 16;
    let mut deployment =
        Deployment::start(&["v1", "v1", "v1"].map(EngineKind::of_version), record)?;
    let boxes = deployment.addresses();
    let others = boxes[1..].to_vec();
    let start = Instant::now();
    let break_at = start + Duration::from_millis(3_000);
    let resume_at = start + Duration::from_millis(6_000);
    let leave_at = (!has_trouble).then_some(break_at);
    let pause = move |_| match resume_at.saturating_duration_since(Instant::now()) {
        Duration::ZERO => Duration::from_millis(500),
        wait => wait,
    };
    let taken_up: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (first, others, record) = (boxes[0].clone(), others.clone(), record.clone());
            thread::spawn(move || {
                let mut client = StreamClient::new(format!("c{number:02}"), ASK, DEADLINE, &record);
                client.attempt(&first, leave_at);
                sleep(pause(0));
                let began = !client.events.is_empty();
                let before = client.events.len();
                follow(&mut client, &others, number, None, pause, 2);
                let went_on = client.events.len() > before;
                (client, began, went_on)
            })
        })
        .collect();
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (others, record) = (others.clone(), record.clone());
            thread::spawn(move || {
                sleep(resume_at.saturating_duration_since(Instant::now()));
                let mut client = StreamClient::new(format!("n{number:02}"), ASK, DEADLINE, &record);
                follow(&mut client, &others, number, None, pause, 2);
                client
            })
        })
        .collect();
    sleep(break_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        deployment.kill(0);
    }
    // The release begins: a new engine joins, then an old one leaves.
    sleep(Duration::from_millis(500));
    deployment.add_engine(EngineKind::of_version("v2")).join();
    sleep(Duration::from_millis(500));
    deployment.engines[0].leave();
    if has_trouble {
        deployment.boxes[0].spawn().map_err(|error| error.to_string())?;
        record.note("the killed process is started again".to_owned());
    }
    let (mut began, mut up, mut on) = (0, 0, 0);
    for client in taken_up {
        let (client, has_begun, went_on) = client.join().expect("a client ends");
        up += usize::from(has_begun);
        on += usize::from(went_on);
        let (name, events) = (&client.name, client.events.len());
        record.note(format!("stream {name}: {events} events, went on: {went_on}"));
    }
    for client in new {
        let client = client.join().expect("a client ends");
        began += usize::from(!client.events.is_empty());
        let (name, events) = (&client.name, client.events.len());
        record.note(format!("new stream {name}: {events} events"));
    }
    record.note(format!("{on} of {up} streams that were taken up again went on"));
    record.note(format!("{began} of {STREAMS} new streams began"));
    if up < 12 {
        return Err("too few streams were taken up again".to_owned());
    }
    // The share that goes on is under half of the share of new streams that begin.
    Ok(on * STREAMS * 2 >= began * up)
}
