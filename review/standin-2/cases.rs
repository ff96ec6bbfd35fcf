//! The cases.

use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::boxes::{Machine, Node, RUEDA, RUEDA_NOW, free_network};
use crate::engine::{Behaviour, Engine};
use crate::http::{Connection, Seen, call};
use crate::json::kebab;
use crate::names::{ATTEMPT_ID, DEADLINE_MS, MODEL, PROMPT_PREFIX, TOKEN_COUNTS};
use crate::record::Record;
use crate::store::Store;

/// `contact-ms` of the pages.
const CONTACT: Duration = Duration::from_millis(3_000);

/// How long a request takes to reach a machine, added where a moment of the rules must have passed.
const SLACK: Duration = Duration::from_millis(500);

/// The most runs of what crashes engines that BUDGET allows after its limit.
const ALLOWED: usize = 3;

static NUMBERS: AtomicU64 = AtomicU64::new(1);

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    engines: Vec<Arc<Engine>>,
    nodes: Vec<Node>,
    folder: PathBuf,
}

/// A request of a client; each try has its own identifier.
#[derive(Clone, Debug)]
struct Request {
    path: String,
    body: String,
    prompt: String,
    model: bool,
    deadline_ms: u64,
}

impl Request {
    fn plain(path: &str, body: &str) -> Self {
        let (path, body) = (path.into(), body.into());
        Self { path, body, prompt: String::new(), model: false, deadline_ms: 5_000 }
    }

    /// A generation with the given parts before its own last one.
    fn stream(parts: &str) -> Self {
        let number = NUMBERS.fetch_add(1, Ordering::SeqCst);
        Self {
            path: format!("/stream/{number}"),
            body: format!("request {number}"),
            prompt: format!("{parts},{:x}:40", 0x1_0000 + number),
            model: true,
            deadline_ms: 5_000,
        }
    }

    fn send(&self, address: &str, record: &Record) -> (String, Seen) {
        let attempt = format!("a{:07}", NUMBERS.fetch_add(1, Ordering::SeqCst));
        let mut text = format!(
            "POST {} HTTP/1.1\r\nHost: host.example\r\n{ATTEMPT_ID}: {attempt}\r\n\
             {DEADLINE_MS}: {}\r\nContent-Length: {}\r\n",
            self.path,
            self.deadline_ms,
            self.body.len()
        );
        if self.model {
            text.push_str(&format!("{MODEL}: m1\r\n{TOKEN_COUNTS}: 440,6\r\n"));
            text.push_str(&format!("{PROMPT_PREFIX}: {}\r\n", self.prompt));
        }
        text.push_str("\r\n");
        text.push_str(&self.body);
        record.note(format!("{attempt} sent to {address}: {}", self.path));
        let seen = call(address, text.as_bytes(), Duration::from_millis(self.deadline_ms + 500));
        let end = if seen.is_whole { "whole" } else { "not whole" };
        record.note(format!("{attempt} answered {} {end}", seen.status));
        if seen.status == 200 && seen.is_whole {
            record.served.lock().unwrap().insert(attempt.clone());
        }
        (attempt, seen)
    }
}

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"host.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout-ms\":5000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"{service}\",\
             \"max-attempts\":{attempts},\"sticky\":false,\"resumable\":false,\"target-gap-ms\":400}}"
        )
    };
    let routes = [
        route("once", "unsafe", "plain", 1),
        route("safe", "safe", "plain", 2),
        route("stream", "streaming", "text", 1),
    ];
    let service =
        "\"health-path\":\"/health\",\"connection-limit\":360,\"protocol\":\"h1\",\"tls\":false";
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"plain\",{service}}},\
         {{\"name\":\"text\",{service},\"engine\":{{\"slots\":8,\"kv_cache_tokens\":100000,\"kv-token-bytes\":1,\
         \"link-mbps\":1000.0,\"models\":[{{\"name\":\"m1\",\"weight-size-mb\":1000,\"load-time-s\":1.0,\
         \"adapters\":0,\"adapter-size-mb\":1.0,\"warm-up-s\":0.5,\"disk-load-s\":0.7}}],\
         \"weight-size-mb\":1100,\"adapter-slots\":1,\"loads-per-s\":1.0}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":100000,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}

impl World {
    /// Starts a store, engines of a service and boxes. Returns `None` if the boxes do not get ready.
    fn start(machine: Machine, boxes: usize, service: &str, engines: usize) -> Option<Self> {
        let record = Arc::new(Record::default());
        let network = free_network();
        let store = Store::start(&format!("{network}.200"), boxes);
        let folder = std::env::temp_dir().join(format!("trackfront-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let engine = |number: usize| {
            let ip = format!("{network}.{}", 100 + number);
            let zone = format!("zone-{}", 1 + number % 3);
            Engine::start(&ip, &format!("i-{number}"), service, &zone, &store, &record)
        };
        let engines = (0..engines).map(engine).collect();
        store.put("op", "config", Some(&kebab(&config())));
        let node = |number: usize| {
            let zone = format!("zone-{}", 1 + number % 3);
            Node::start(number, &network, &zone, &store.addresses[number], machine, &folder)
        };
        let nodes: Vec<Node> = (0..boxes).map(node).collect();
        let world = Self { record, store, engines, nodes, folder };
        for node in &world.nodes {
            if !node.wait_ready() {
                world.record.tell(format!("front-{} does not get ready", node.number));
                return None;
            }
            node.not_first_start();
        }
        world.record.tell("all boxes are ready");
        Some(world)
    }

    fn set_behaviour(&self, behaviour: &Behaviour) {
        self.engines
            .iter()
            .for_each(|engine| *engine.behaviour.lock().unwrap() = behaviour.clone());
    }

    /// Returns the number of crashes so far.
    fn crashes(&self) -> usize {
        self.record.crashes.lock().unwrap().len()
    }

    /// Returns the moment `contact-ms` after the crash of a number.
    fn limit_after(&self, crash: usize) -> Option<Instant> {
        let mut crashes = self.record.crashes.lock().unwrap().clone();
        crashes.sort();
        crashes.get(crash - 1).map(|(at, _)| *at + CONTACT)
    }

    /// Returns how many runs of what crashes engines began later than `contact-ms` after the crash of a number.
    fn late_runs(&self, crash: usize) -> usize {
        let Some(limit) = self.limit_after(crash) else { return 0 };
        let runs = self.record.runs.lock().unwrap();
        runs.iter().filter(|run| run.is_deadly && run.at > limit).count()
    }

    /// Returns how many sound requests were running at the engines that crashed after that moment, and were not answered.
    fn lost_beside(&self, crash: usize) -> usize {
        let Some(limit) = self.limit_after(crash) else { return 0 };
        let crashes = self.record.crashes.lock().unwrap();
        let late: Vec<&String> =
            crashes.iter().filter(|(at, _)| *at > limit).map(|(_, engine)| engine).collect();
        let (runs, served) = (self.record.runs.lock().unwrap(), self.record.served.lock().unwrap());
        let is_lost = |run: &&crate::record::Run| {
            !run.is_deadly && late.contains(&&run.engine) && !served.contains(&run.attempt)
        };
        runs.iter().filter(is_lost).count()
    }

    /// Stops the boxes with SIGTERM and starts them again, one after the other.
    fn roll(&mut self) {
        self.record.tell("rolling restart begins");
        for node in &mut self.nodes {
            node.stop();
            sleep(Duration::from_millis(300));
            node.restart();
            node.wait_ready();
            self.record.tell(format!("front-{} was restarted", node.number));
        }
        sleep(CONTACT + SLACK);
    }

    fn finish(self, folder: &Path) {
        self.record.write(&folder.join("record.txt"));
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Plays a case; `Some(true)` if the rule was broken.
pub fn play(case: &str, folder: &Path, has_trouble: bool) -> Option<bool> {
    match case {
        "poison-roll" => poison_roll(folder, has_trouble),
        "part-loss" => part_loss(folder, has_trouble),
        "keep-alive" => keep_alive(folder, has_trouble),
        "idle-crowd" => idle_crowd(folder, has_trouble),
        "many-parts" => many_parts(folder, has_trouble),
        _ => None,
    }
}

/// A request that crashes its engines comes again while the boxes are restarted in turn.
fn poison_roll(folder: &Path, has_trouble: bool) -> Option<bool> {
    const BODY: &str = "a body that crashes its engine";
    let mut world = World::start(RUEDA, 4, "plain", 8)?;
    let work = Some(Duration::from_millis(60));
    world.set_behaviour(&Behaviour {
        deadly_body: Some(BODY.into()),
        work,
        ..Behaviour::default()
    });
    sleep(CONTACT + SLACK);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<String> = world.nodes.iter().map(Node::client_address).collect();
    let request = |number: usize| Request::plain("/once/sound", &format!("sound {number}"));
    let sound = send_sound(
        addresses,
        world.record.clone(),
        stop.clone(),
        Duration::from_millis(8),
        request,
    );
    let deadly = Request::plain("/once/cause", BODY);
    let mut sent = 0;
    for round in 0..3 {
        if round > 0 {
            match has_trouble {
                true => world.roll(),
                false => sleep(CONTACT + SLACK),
            }
        }
        // The client tries again after some seconds, at another box.
        let tries = if round == 2 { 6 } else { 2 };
        for _ in 0..tries {
            let address = world.nodes[sent % world.nodes.len()].client_address();
            deadly.send(&address, &world.record);
            sent += 1;
            sleep(CONTACT + SLACK);
        }
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sound.join();
    let (crashes, late, lost) = (world.crashes(), world.late_runs(3), world.lost_beside(3));
    world.record.tell(format!(
        "{sent} tries, {crashes} crashes, {late} runs after the third crash and contact-ms; {ALLOWED} are allowed; \
         {lost} sound requests were lost with the engines that crashed then"
    ));
    world.finish(folder);
    (crashes >= 3).then_some(late > ALLOWED)
}

/// Sends sound requests to the boxes in turn until `stop`, some a second.
fn send_sound(
    addresses: Vec<String>,
    record: Arc<Record>,
    stop: Arc<AtomicBool>,
    pause: Duration,
    request: impl Fn(usize) -> Request + Send + 'static,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut sent = 0;
        while !stop.load(Ordering::SeqCst) {
            let (address, record) = (addresses[sent % addresses.len()].clone(), record.clone());
            let request = request(sent);
            thread::spawn(move || request.send(&address, &record));
            sent += 1;
            sleep(pause);
        }
    })
}

/// Requests with a part that crashes engines come while a machine is lost for good.
fn part_loss(folder: &Path, has_trouble: bool) -> Option<bool> {
    let mut world = World::start(RUEDA, 6, "text", 10)?;
    let behaviour = Behaviour { deadly_part: Some("dead01".into()), ..Behaviour::default() };
    world.set_behaviour(&behaviour);
    let addresses: Vec<String> = world.nodes.iter().map(Node::client_address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let request = |number: usize| Request::stream(&format!("aa:300,{:x}:100", 0xb0 + number % 5));
    let sound = send_sound(
        addresses.clone(),
        world.record.clone(),
        stop.clone(),
        Duration::from_millis(60),
        request,
    );
    sleep(Duration::from_secs(6));
    let send_deadly = |world: &World, to: usize, first: &str| {
        let (address, record) = (world.nodes[to].client_address(), world.record.clone());
        let request = Request::stream(&format!("{first}:300,dead01:100"));
        thread::spawn(move || request.send(&address, &record));
    };
    // Eighteen such requests at once, three at each box. Their other parts differ, so that no engine has them in its
    // memory.
    (0..18).for_each(|number| send_deadly(&world, number % 6, &format!("{:x}", 0xe000 + number)));
    sleep(Duration::from_millis(300));
    let crashes = world.crashes();
    world.record.tell(format!("{crashes} crashes in the first wave"));
    sleep(CONTACT + SLACK);
    let began = Instant::now();
    let mut lost: Option<usize> = None;
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(50) {
        let up: Vec<usize> = (0..world.nodes.len()).filter(|node| Some(*node) != lost).collect();
        send_deadly(&world, up[number % up.len()], "aa");
        number += 1;
        sleep(Duration::from_millis(200));
        if has_trouble && lost.is_none() && began.elapsed() > Duration::from_secs(14) {
            let (writer, row) = world.store.last_writer()?;
            world.record.tell(format!(
                "front-{writer}, which last wrote a row under a condition ({row}), is lost for good"
            ));
            world.nodes[writer].kill();
            lost = Some(writer);
        }
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sound.join();
    let (crashes, late, lost) = (world.crashes(), world.late_runs(5), world.lost_beside(5));
    world.record.tell(format!(
        "{number} requests with the part, {crashes} crashes, {late} runs after the fifth crash and contact-ms; {ALLOWED} are allowed; \
         {lost} sound requests were lost with the engines that crashed then"
    ));
    world.finish(folder);
    (crashes >= 5).then_some(late > ALLOWED)
}

/// Many clients keep a connection each to one box, while others open new ones.
fn idle_crowd(folder: &Path, has_trouble: bool) -> Option<bool> {
    /// `contact-ms` of the deployments where the rule is in force.
    const CONTACT: Duration = Duration::from_millis(4_000);
    let world = World::start(RUEDA_NOW, 3, "plain", 6)?;
    sleep(CONTACT + SLACK);
    let address = world.nodes[0].client_address();
    let crowd = if has_trouble { 1_700 } else { 200 };
    // Thirty threads open them, each after the answer to the one before, together no more than this many a second.
    const OPENERS: usize = 30;
    const PER_S: f64 = 220.0;
    let open = |address: String| {
        let stream =
            TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_000)));
        let mut connection = Connection::new(stream);
        let attempt = format!("k{:07}", NUMBERS.fetch_add(1, Ordering::SeqCst));
        let text = format!(
            "GET /safe/x HTTP/1.1\r\nHost: host.example\r\n{ATTEMPT_ID}: {attempt}\r\n\
             {DEADLINE_MS}: 1500\r\n\r\n"
        );
        connection.send(text.as_bytes()).ok()?;
        let head = connection.head().ok()?;
        connection.body(&head).ok()?;
        (head.status() == 200).then_some(connection)
    };
    let openers = (0..OPENERS).map(|_| {
        let address = address.clone();
        thread::spawn(move || {
            let began = Instant::now();
            let paced = (0..crowd / OPENERS).filter_map(|number| {
                let due = Duration::from_secs_f64((number * OPENERS) as f64 / PER_S);
                sleep(due.saturating_sub(began.elapsed()));
                open(address.clone())
            });
            paced.collect::<Vec<_>>()
        })
    });
    let openers: Vec<_> = openers.collect();
    let kept: Vec<Connection> =
        openers.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    let served = kept.len();
    world
        .record
        .tell(format!("{served} of {crowd} clients were served and keep their connections"));
    // Ten clients open a new connection each half second, for a while.
    let began = Instant::now();
    let answers: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut tries = Vec::new();
    let mut unready = Vec::new();
    while began.elapsed() < Duration::from_secs(14) {
        for _ in 0..10 {
            let (address, record, answers) =
                (address.clone(), world.record.clone(), answers.clone());
            tries.push(thread::spawn(move || {
                let request = Request { deadline_ms: 1_500, ..Request::plain("/safe/y", "") };
                let (_, seen) = request.send(&address, &record);
                if seen.status != 0 {
                    answers.lock().unwrap().push(Instant::now());
                }
            }));
        }
        if !world.nodes[0].is_ready() {
            unready.push(Instant::now());
        }
        sleep(Duration::from_millis(500));
    }
    let ended = Instant::now();
    tries.into_iter().for_each(|one| _ = one.join());
    // The longest time in which the box says that it is ready and answers on no new connection.
    let mut moments = answers.lock().unwrap().clone();
    moments.extend(&unready);
    moments.extend([began, ended]);
    moments.sort();
    let longest = moments.windows(2).map(|two| two[1] - two[0]).max().unwrap_or_default();
    let (count, unready) = (answers.lock().unwrap().len(), unready.len());
    world.record.tell(format!(
        "{count} answers on new connections; unready {unready} times; no new connection was taken for {:.1} s by a box that says it is ready",
        longest.as_secs_f64()
    ));
    drop(kept);
    world.finish(folder);
    Some(longest > CONTACT)
}

/// Requests whose prompts have many parts, one of which crashes engines.
fn many_parts(folder: &Path, has_trouble: bool) -> Option<bool> {
    let world = World::start(RUEDA, 4, "text", 10)?;
    let deadly = has_trouble.then(|| "dead01".to_owned());
    world.set_behaviour(&Behaviour { deadly_part: deadly, ..Behaviour::default() });
    let addresses: Vec<String> = world.nodes.iter().map(Node::client_address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let turns: Vec<String> = (0..70).map(|turn| format!("{:x}:20", 0xc000 + turn)).collect();
    let turns = turns.join(",");
    // Sound requests share all parts but the one.
    let shared = format!("aa:300,{turns}");
    let sound = send_sound(
        addresses.clone(),
        world.record.clone(),
        stop.clone(),
        Duration::from_millis(60),
        move |_| Request::stream(&shared),
    );
    sleep(Duration::from_secs(4));
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < Duration::from_secs(25) {
        let request = Request::stream(&format!("aa:300,{},dead01:40", turns));
        let (address, record) = (addresses[number % addresses.len()].clone(), world.record.clone());
        thread::spawn(move || request.send(&address, &record));
        number += 1;
        sleep(Duration::from_millis(400));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sound.join();
    let (crashes, late, lost) = (world.crashes(), world.late_runs(5), world.lost_beside(5));
    world.record.tell(format!(
        "{number} requests with the part, {crashes} crashes, {late} runs after the fifth crash and contact-ms; {ALLOWED} are allowed; \
         {lost} sound requests were lost with the engines that crashed then"
    ));
    world.finish(folder);
    Some(late > ALLOWED)
}

/// What a client saw of a request on a kept connection.
struct Kept {
    attempt: String,
    /// Whether the connection had carried a request before.
    is_kept: bool,
    is_answered: bool,
}

/// Sends requests one after the other on kept connections until `stop`. Opens a new one after each that ends.
fn send_kept(address: String, record: Arc<Record>, stop: Arc<AtomicBool>) -> JoinHandle<Vec<Kept>> {
    thread::spawn(move || {
        let mut all = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let target = address.parse().expect("an address");
            let Ok(stream) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
                sleep(Duration::from_millis(100));
                continue;
            };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
            let mut connection = Connection::new(stream);
            let mut is_kept = false;
            while !stop.load(Ordering::SeqCst) {
                let attempt = format!("a{:07}", NUMBERS.fetch_add(1, Ordering::SeqCst));
                let text = format!(
                    "POST /once/x HTTP/1.1\r\nHost: host.example\r\n{ATTEMPT_ID}: {attempt}\r\n\
                     {DEADLINE_MS}: 5000\r\nContent-Length: 3\r\n\r\nabc"
                );
                record.note(format!(
                    "{attempt} sent to {address} on a {} connection",
                    if is_kept { "kept" } else { "new" }
                ));
                let is_sent = connection.send(text.as_bytes()).is_ok();
                let head = if is_sent { connection.head().ok() } else { None };
                let status = head.as_ref().map_or(0, |head| head.status());
                let is_answered = head.as_ref().is_some_and(|head| connection.body(head).is_ok());
                record.note(format!(
                    "{attempt} answered {status} {}",
                    if is_answered { "whole" } else { "not whole" }
                ));
                all.push(Kept { attempt, is_kept, is_answered });
                is_kept = true;
                let closes = head.is_none_or(|head| {
                    head.header("connection").is_some_and(|value| value.contains("close"))
                });
                if !is_answered || closes {
                    break;
                }
                sleep(Duration::from_millis(20));
            }
        }
        all
    })
}

/// One engine states in some of its answers for how long it keeps idle connections: as long as can be.
fn keep_alive(folder: &Path, has_trouble: bool) -> Option<bool> {
    /// How often LOST allows a kept connection to be closed without an answer.
    const ALLOWED: usize = 3;
    /// The share of its answers: one in twenty.
    const EVERY: u64 = 20;
    /// For how long.
    const FOR_S: u64 = 6;
    let mut world = World::start(RUEDA, 4, "plain", 6)?;
    let work = Some(Duration::from_millis(60));
    world.set_behaviour(&Behaviour { work, ..Behaviour::default() });
    sleep(CONTACT + SLACK);
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<String> = world.nodes.iter().map(Node::client_address).collect();
    let clients: Vec<_> = (0..24)
        .map(|number| send_kept(addresses[number % 4].clone(), world.record.clone(), stop.clone()))
        .collect();
    sleep(Duration::from_secs(5));
    let seconds = if has_trouble { "18446744073709551615" } else { "60" };
    // Two of six engines.
    let odd = ["i-0-1", "i-1-1"];
    let headers = Some((format!("keep-alive: timeout={seconds}\r\n"), EVERY));
    let set = |headers: Option<(String, u64)>| {
        let behaviour = Behaviour { work, headers, ..Behaviour::default() };
        world
            .engines
            .iter()
            .take(odd.len())
            .for_each(|engine| *engine.behaviour.lock().unwrap() = behaviour.clone());
    };
    let text = format!("Keep-Alive: timeout={seconds}");
    world.record.tell(format!("one in {EVERY} answers of {odd:?} says for {FOR_S} s: {text}"));
    set(headers);
    let mut is_over = false;
    let began = Instant::now();
    let mut ends = Vec::new();
    let mut away: Vec<(usize, Instant)> = Vec::new();
    while began.elapsed() < Duration::from_secs(FOR_S + 6) {
        if !is_over && began.elapsed() > Duration::from_secs(FOR_S) {
            world.record.tell("that is over");
            let behaviour = Behaviour { work, ..Behaviour::default() };
            world.set_behaviour(&behaviour);
            is_over = true;
        }
        for node in &mut world.nodes {
            if let Some(status) = node.own_end() {
                world.record.tell(format!("front-{} ends by itself: {status}", node.number));
                ends.push(node.number);
                away.push((node.number, Instant::now()));
            }
        }
        // As the platform does, a process that has ended is started again after a short delay.
        let (due, rest) =
            away.iter().copied().partition(|(_, at)| at.elapsed() > Duration::from_millis(500));
        away = rest;
        let due: Vec<(usize, Instant)> = due;
        due.iter().for_each(|(number, _)| world.nodes[*number].restart());
        sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<Kept> =
        clients.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    let runs = world.record.runs.lock().unwrap().clone();
    let ran_at = |attempt: &str| {
        runs.iter().find(|run| run.attempt == attempt).map(|run| run.engine.clone())
    };
    let is_lost = |one: &&Kept| {
        one.is_kept
            && !one.is_answered
            && ran_at(&one.attempt).is_some_and(|engine| !odd.contains(&engine.as_str()))
    };
    let lost = sent.iter().filter(is_lost).count();
    ends.sort_unstable();
    let ends_of = ends.len();
    ends.dedup();
    world.record.tell(format!(
        "{} requests; processes ended by themselves {ends_of} times, at {} machines; {lost} kept connections were closed without an \
         answer after their request had been passed on to another engine, and {ALLOWED} are allowed",
        sent.len(),
        ends.len()
    ));
    world.finish(folder);
    (!sent.is_empty()).then_some(lost > ALLOWED)
}
