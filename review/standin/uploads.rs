//! Uploads to a service whose engines hang at times.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, RESTART_DELAY};
use crate::http::{connect, read_body, read_head, respond};
use crate::names;
use crate::record::Record;
use crate::store::Store;

/// The `memory-mb` of the machines.
const MEMORY_MB: u64 = 260;

/// The size of an upload, the `max-body-bytes` of the configuration.
const UPLOAD_BYTES: usize = 4_194_304;

/// The uploads a second at each machine: 940 of the 1,000 Mbit/s of its link.
const UPLOADS_PER_S: u32 = 28;

/// The time for which uploads are sent.
const UPLOAD_TIME: Duration = Duration::from_secs(32);

/// When the engines hang, since the first upload, and for how long.
const HANG_AT_S: [u64; 3] = [3, 13, 23];
const HANG_TIME: Duration = Duration::from_millis(6_500);

/// The percentage of requests that a hanging engine doesn't answer.
const HANG_PERCENT: u64 = 45;

/// The machines that get uploads.
const UPLOAD_BOXES: usize = 2;

/// An engine that takes uploads.
struct UploadEngine {
    id: String,
    is_hanging: Arc<AtomicBool>,
    taken: Arc<AtomicU64>,
}

fn start_engine(
    number: usize,
    deployment: &Deployment,
    is_hanging: &Arc<AtomicBool>,
) -> Arc<AtomicU64> {
    let address = deployment.address_of(110 + number, 8601);
    let listener = TcpListener::bind(&address).expect("the engine's address is free");
    let (id, taken) = (format!("i-5c20e7{number:02x}"), Arc::new(AtomicU64::new(0)));
    let engine =
        Arc::new(UploadEngine { id, is_hanging: is_hanging.clone(), taken: taken.clone() });
    write_row(&deployment.store, &engine.id, &address);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = engine.clone();
            thread::spawn(move || engine.serve(stream));
        }
    });
    taken
}

fn write_row(store: &Store, id: &str, address: &str) {
    let row = format!(
        "{{\"service\":\"uploads\",\"address\":\"{address}\",\"zone\":\"hall-1\",\"version\":\"v1\",\
         \"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":0,\"stage\":\"both\",\
         \"models\":[]}}"
    );
    store.put("servers", id, Some(&row));
}

impl UploadEngine {
    fn serve(&self, mut stream: TcpStream) {
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let own = [(names::INSTANCE_ID, self.id.clone())];
            if head.header(names::EXPECTED_INSTANCE).is_some_and(|id| id != self.id) {
                let _ = respond(&mut stream, "421 Misdirected Request", &own, b"");
                return;
            }
            let Ok(_) = read_body(&mut reader, &head) else { return };
            let number = self.taken.fetch_add(1, Ordering::Relaxed);
            let is_drawn = (number * HANG_PERCENT) % 100 < HANG_PERCENT;
            if self.is_hanging.load(Ordering::Relaxed) && is_drawn {
                // The engine never answers; the connection ends when the box closes it.
                let _ = reader.read(&mut [0; 1]);
                return;
            }
            let id = head.header(names::ATTEMPT_ID).unwrap_or_default().to_owned();
            let headers =
                [(names::RESPONSE_SIGNATURE, format!("{}.{id}", self.id)), (names::ATTEMPT_ID, id)];
            if respond(&mut stream, "200 OK", &headers, b"taken").is_err() {
                return;
            }
        }
    }
}

/// Sends an upload. Returns the status of its answer; 0 if the connection ended without one.
fn upload(address: &str, id: &str, body: &[u8]) -> u16 {
    let send = || -> std::io::Result<u16> {
        let mut reader = connect(address)?;
        let head = format!(
            "POST /uploads/1 HTTP/1.1\r\nHost: host.example\r\n{}: {id}\r\n{}: 20000\r\n\
             Content-Length: {}\r\n\r\n",
            names::ATTEMPT_ID,
            names::DEADLINE_MS,
            body.len()
        );
        let stream = reader.get_mut();
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.set_write_timeout(Some(Duration::from_secs(20)))?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let head = read_head(&mut reader)?;
        if let Some(head) = &head {
            read_body(&mut reader, head)?;
        }
        Ok(head.map_or(0, |head| head.status()))
    };
    send().unwrap_or(0)
}

/// Sends uploads to a machine at a steady rate. Returns how many got which status.
fn send_uploads(name: &str, address: &str) -> Vec<(u16, u32)> {
    let body: Arc<[u8]> = vec![b'x'; UPLOAD_BYTES].into();
    let start = Instant::now();
    let mut uploads = Vec::new();
    let mut number = 0;
    while start.elapsed() < UPLOAD_TIME {
        let (address, body, id) = (address.to_owned(), body.clone(), format!("{name}u{number}"));
        uploads.push(thread::spawn(move || upload(&address, &id, &body)));
        number += 1;
        let due = Duration::from_secs(1) / UPLOADS_PER_S * number;
        sleep(due.saturating_sub(start.elapsed()));
    }
    let mut counts: Vec<(u16, u32)> = Vec::new();
    for upload in uploads {
        let status = upload.join().unwrap_or(0);
        match counts.iter_mut().find(|(known, _)| *known == status) {
            Some((_, count)) => *count += 1,
            None => counts.push((status, 1)),
        }
    }
    counts
}

/// Two machines get uploads at a steady rate. With trouble, the engines hang for some seconds, three times.
/// The platform kills a process that goes over its memory, and starts it again.
pub fn over_memory(has_trouble: bool, record: &Record) -> Outcome {
    let mut deployment = Deployment::start(&[], record)?;
    let is_hanging = Arc::new(AtomicBool::new(false));
    let taken: Vec<_> =
        (0..2).map(|number| start_engine(number, &deployment, &is_hanging)).collect();
    sleep(Duration::from_secs(2));
    let boxes = deployment.addresses();
    let start = Instant::now();
    let senders: Vec<_> = (0..UPLOAD_BOXES)
        .map(|index| {
            let (name, address) = (format!("b{index}"), boxes[index].clone());
            thread::spawn(move || send_uploads(&name, &address))
        })
        .collect();
    let (mut ends, mut most_mb) = (vec![0; boxes.len()], vec![0; boxes.len()]);
    let mut killed: Vec<Option<Instant>> = vec![None; boxes.len()];
    while start.elapsed() < UPLOAD_TIME {
        let elapsed = start.elapsed();
        let times = HANG_AT_S.iter().map(|at| Duration::from_secs(*at));
        let hangs =
            has_trouble && times.into_iter().any(|at| elapsed >= at && elapsed < at + HANG_TIME);
        if is_hanging.swap(hangs, Ordering::Relaxed) != hangs {
            record.note(format!("the engines hang at {HANG_PERCENT} of 100 requests: {hangs}"));
        }
        for (index, one) in deployment.boxes.iter_mut().enumerate() {
            match killed[index] {
                Some(at) if at.elapsed() >= RESTART_DELAY => {
                    killed[index] = None;
                    one.spawn().map_err(|error| error.to_string())?;
                    record.note(format!("{} is started again", one.name));
                }
                Some(_) => {}
                None => {
                    let used_mb = one.memory_mb();
                    most_mb[index] = most_mb[index].max(used_mb);
                    if used_mb > MEMORY_MB {
                        record.note(format!("{} uses {used_mb} MB and is killed", one.name));
                        one.kill();
                        ends[index] += 1;
                        killed[index] = Some(Instant::now());
                    }
                }
            }
        }
        sleep(Duration::from_millis(20));
    }
    for (index, sender) in senders.into_iter().enumerate() {
        let counts = sender.join().expect("a client ends");
        record.note(format!("uploads at {}: status and number {counts:?}", boxes[index]));
    }
    let taken: Vec<u64> = taken.iter().map(|count| count.load(Ordering::Relaxed)).collect();
    record.note(format!("uploads that the engines took: {taken:?}"));
    record.note(format!("most memory of the boxes' processes in MB: {most_mb:?}"));
    record.note(format!("processes that went over {MEMORY_MB} MB: {ends:?}"));
    // On a tenth of the machines, two at least, processes end three times in the day; memory over the limit counts.
    Ok(ends.iter().filter(|count| **count >= 3).count() < 2)
}
