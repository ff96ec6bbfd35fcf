//! The project's own program, started as the deploy file says, with its template filled in.

use std::fs;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{connect, read_head};
use crate::json::Json;
use crate::names;
use std::io::Write;

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The ports of every machine; each machine has its own address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub internal: u16,
}

/// A network of loopback addresses that no other run uses.
pub struct Network {
    prefix: String,
    pub ports: Ports,
    _guard: TcpListener,
}

impl Network {
    pub fn reserve() -> Network {
        let start = std::process::id();
        for step in 0..20_000u32 {
            let index = (start.wrapping_mul(31) + step) % 20_000;
            let prefix = format!("127.{}.{}", 100 + index / 200, 1 + index % 200);
            if let Ok(guard) = TcpListener::bind(format!("{prefix}.250:8140")) {
                let ports = Ports { front: 8149, ready: 8141, internal: 7380 };
                return Network { prefix, ports, _guard: guard };
            }
        }
        panic!("no network is free");
    }

    pub fn ip(&self, last: usize) -> String {
        format!("{}.{last}", self.prefix)
    }
}

/// A box as a process.
pub struct BoxProcess {
    pub name: String,
    pub ip: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    program: String,
    child: Option<Child>,
}

impl BoxProcess {
    /// Starts a box for the first time.
    pub fn start(network: &Network, number: usize, store: &str, folder: &Path) -> io::Result<Self> {
        let (name, ip) = (format!("front-{number}"), network.ip(9 + number));
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        let program = run_command()?;
        let mut started =
            Self { name, ip, ports: network.ports, settings, log, program, child: None };
        started.write_settings(store, true)?;
        started.spawn()?;
        // Only the very first start of the whole system is one.
        started.write_settings(store, false)?;
        Ok(started)
    }

    fn write_settings(&self, store: &str, is_first: bool) -> io::Result<()> {
        let template = fs::read_to_string("deploy/node.toml")?;
        let Self { name, ip, ports, .. } = self;
        let fields = format!(
            r#"{{"node-name":"{name}","role":"node","machine-class":"front","ip":"{ip}",
            "zone":"hall-1","region":"region-1","zones":{{"hall-1":"region-1"}},
            "listen":{{"front":"{ip}:{}","ready":"{ip}:{}"}},"internal-ports":[{},{}],
            "bootstrap":{is_first},"platform":{{"address":"{store}"}},"heartbeat-ms":1200,
            "limits":{{"cpu-share":0.25,"cores":1,"memory-mb":260,"file-descriptors":4100,
                       "link-mbps":1000.0}},
            "bounds":{{"drain-ms":2000,"grace-s":8,"retry-budget-ratio":0.2,"budget-slack":52,
                       "budget-window-s":10,"ceiling-window-s":5,"ceiling-overage":1.1,
                       "lease-ms":3000}}}}"#,
            ports.front,
            ports.ready,
            ports.internal,
            ports.internal + 15
        );
        let fields = Json::parse(&fields).expect("the fields are JSON");
        // The file is replaced as a whole.
        let new = self.settings.with_extension("new");
        fs::write(&new, fill(&template, &fields, None))?;
        fs::rename(new, &self.settings)
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut words = self.program.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words).env_clear().env(names::SETTINGS_VARIABLE, &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            // SAFETY: the call takes two numbers and touches no memory; the child has not been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    /// Returns the memory of the process that no file backs, in MB.
    pub fn memory_mb(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    /// Returns how the process ended, if it did so by itself.
    pub fn own_end(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// Returns why the process ended, by its log.
    pub fn last_words(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let line = log.lines().rev().find(|line| line.contains("panicked"));
        // The message stands on a line of its own after the place in the sources.
        let message = line.and_then(|line| line.split("\\n").nth(1)?.split('"').next());
        message.unwrap_or("nothing").to_owned()
    }

    pub fn address(&self) -> String {
        format!("{}:{}", self.ip, self.ports.front)
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready().is_ok_and(|ready| ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut reader = connect(&format!("{}:{}", self.ip, self.ports.ready))?;
        let path = format!("/trackfront/{}", "readiness");
        let text = format!("GET {path} HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n");
        reader.get_mut().write_all(text.as_bytes())?;
        reader.get_mut().set_read_timeout(Some(Duration::from_secs(1)))?;
        Ok(read_head(&mut reader)?.is_some_and(|head| head.status() == 200))
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the command of the deploy file.
fn run_command() -> io::Result<String> {
    let deploy = fs::read_to_string("deploy/system.toml")?;
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.strip_suffix('"'));
    command.map(str::to_owned).ok_or_else(|| io::Error::other("the deploy file has no command"))
}

/// Fills a template as DEPLOY.md says: `{{a.b}}`, `{{a|json}}`, and sections.
fn fill(template: &str, fields: &Json, entry: Option<(&str, &Json)>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let after = &rest[start + 2..];
        let end = after.find("}}").expect("a gap has an end");
        let (gap, following) = (&after[..end], &after[end + 2..]);
        rest = following;
        if let Some(name) = gap.strip_prefix('#') {
            let close = format!("{{{{/{name}}}}}");
            let length = rest.find(&close).expect("a section has an end");
            let inner = &rest[..length];
            rest = &rest[length + close.len()..];
            match look_up(fields, name) {
                Json::Obj(map) => {
                    for (key, value) in map {
                        out.push_str(&fill(inner, fields, Some((key, value))));
                    }
                }
                Json::Null | Json::Bool(false) => {}
                _ => out.push_str(&fill(inner, fields, entry)),
            }
            continue;
        }
        let (name, as_json) = match gap.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (gap, false),
        };
        let value = match (name, entry) {
            ("@", Some((key, _))) => Json::Str(key.to_owned()),
            (".", Some((_, value))) => value.clone(),
            _ => look_up(fields, name).clone(),
        };
        match value {
            Json::Str(text) if !as_json => out.push_str(&text),
            Json::Null if !as_json => {}
            other => out.push_str(&other.text()),
        }
    }
    out.push_str(rest);
    out
}

fn look_up<'a>(fields: &'a Json, name: &str) -> &'a Json {
    name.split('.').fold(fields, |value, part| match (value, part.parse::<usize>()) {
        (Json::Arr(items), Ok(index)) => items.get(index).unwrap_or(&Json::Null),
        _ => value.get(part),
    })
}
