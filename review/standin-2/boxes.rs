//! The boxes: processes that run the project's program, started as the deploy file says.

use std::fs::File;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::names;

/// The program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/trackfront-platform";

/// The end of the path of the readiness check.
const READINESS: &str = "/readiness";

/// The ports of each box; each has its own address.
const PORTS: [u16; 3] = [18_149, 18_141, 17_380];

/// What a machine has, from a site file.
#[derive(Clone, Copy)]
pub struct Machine {
    pub cpu_share: f64,
    pub memory_mb: u32,
    pub descriptors: u32,
    pub link_mbps: f64,
}

/// The machines of `sites/rueda-lima.toml`.
pub const RUEDA: Machine =
    Machine { cpu_share: 0.25, memory_mb: 260, descriptors: 4_100, link_mbps: 1_000.0 };

/// Most machines of `shifted/rueda-lima-now-grown.toml`.
pub const RUEDA_NOW: Machine =
    Machine { cpu_share: 0.12, memory_mb: 160, descriptors: 4_100, link_mbps: 10.0 };

pub struct Node {
    pub ip: String,
    pub number: usize,
    folder: PathBuf,
    child: Option<Child>,
    /// When it last started, stopped or was killed.
    pub disturbed: Instant,
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Asks the kernel for SIGKILL once the process that started this one has ended.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// Returns the first three octets of a network of loopback addresses that nobody uses.
pub fn free_network() -> String {
    let first = std::process::id() as usize;
    for step in 0..20_000 {
        let index = (first * 37 + step) % 20_000;
        let network = format!("127.{}.{}", 120 + index / 250, index % 250);
        let is_free = |port: &u16| TcpListener::bind(format!("{network}.10:{port}")).is_ok();
        if PORTS.iter().all(is_free) {
            return network;
        }
    }
    panic!("no free network");
}

impl Node {
    /// Starts a box with the settings of `deploy/node.toml`, filled in.
    pub fn start(
        number: usize,
        network: &str,
        zone: &str,
        store: &str,
        machine: Machine,
        folder: &Path,
    ) -> Self {
        let Machine { cpu_share, memory_mb, descriptors, link_mbps } = machine;
        let ip = format!("{network}.{}", 10 + number);
        let [front, ready, inner] = PORTS;
        let text = format!(
            "[node]\nname = \"front-{number}\"\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region-1\"\n\
             first_start = true\n\
             [listen]\nclients = \"{ip}:{front}\"\nreadiness = \"{ip}:{ready}\"\npeers = {inner}\nmetrics = {inner}\n\
             [store]\naddress = \"{store}\"\n\
             [resources]\ncores = 1\nfile_descriptors = {descriptors}\ncpu_share = {cpu_share}\n\
             memory_mb = {memory_mb}\nlink_mbps = {link_mbps:?}\n\
             [promises]\ndrain_ms = 2000\nconfig_ms = 2000\ngrace_s = 8\nretry_ratio = 0.2\nretry_slack = 52\n\
             retry_window_s = 10\nload_window_s = 5\nload_overage = 1.1\nheartbeat_ms = 1200\norder_quiet_ms = 3000\n\
             [balancing]\ncoordinated_loads = true\nbound_pauses = true\nfair_shares = true\nlate_last = true\n\
             [halls]\n\"zone-1\" = \"region-1\"\n\"zone-2\" = \"region-1\"\n\"zone-3\" = \"region-1\"\n"
        );
        std::fs::write(folder.join(format!("front-{number}.toml")), text)
            .expect("a folder to write to");
        let disturbed = Instant::now();
        let mut node = Self { ip, number, folder: folder.into(), child: None, disturbed };
        node.restart();
        node
    }

    pub fn client_address(&self) -> String {
        format!("{}:{}", self.ip, PORTS[0])
    }

    /// Starts the program. As the platform does, it says `first_start` only the first time.
    pub fn restart(&mut self) {
        let settings = self.folder.join(format!("front-{}.toml", self.number));
        let log = self.folder.join(format!("front-{}.log", self.number));
        let log =
            File::options().create(true).append(true).open(log).expect("a folder to write to");
        let mut command = Command::new(PROGRAM);
        // The box ends with this process, however that ends.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .env(names::SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file"))
            .stderr(log)
            .spawn()
            .expect("the program was built");
        self.child = Some(child);
        self.disturbed = Instant::now();
    }

    pub fn not_first_start(&self) {
        let path = self.folder.join(format!("front-{}.toml", self.number));
        let text = std::fs::read_to_string(&path).expect("settings");
        std::fs::write(&path, text.replace("first_start = true\n", "")).expect("settings");
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /trackfront{READINESS} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n",
            self.ip
        );
        let address = format!("{}:{}", self.ip, PORTS[1]);
        call(&address, request.as_bytes(), Duration::from_millis(500)).status == 200
    }

    pub fn wait_ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Returns how the process ended, if it did by itself.
    pub fn own_end(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// Kills the process for good.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.disturbed = Instant::now();
    }

    /// Stops the process with SIGTERM, and after the grace period with SIGKILL.
    pub fn stop(&mut self) {
        self.signal("TERM");
        let Some(mut child) = self.child.take() else { return };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(8) {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.disturbed = Instant::now();
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.disturbed = Instant::now();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
