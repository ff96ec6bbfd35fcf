//! The command line of the tool.

use std::path::PathBuf;

use argh::FromArgs;

/// Checks, applies and explains the tree of a trackfront deployment, and shows its state.
///
/// Exit codes: 0 done; 1 failed; 2 the tree has faults; 3 another change came first; 4 not
/// applied; 5 not known whether applied; 6 accepted but not in force on every box yet.
#[derive(Debug, FromArgs)]
pub struct Cli {
    #[argh(subcommand)]
    /// what to do
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a tree.
    Check(Check),
    /// Compare trees.
    Diff(Diff),
    /// Apply a tree.
    Apply(Apply),
    /// Show the state.
    Status(Status),
    /// Explain a value.
    Explain(Explain),
    /// Explain a request.
    ExplainRequest(ExplainRequest),
    /// Sum up what requests were lost to.
    Losses(Losses),
    /// Show requests that are held off.
    HeldOff(HeldOff),
    /// Let a request go that is held off.
    LetGo(LetGo),
    /// Show the audit trail.
    Audit(Audit),
    /// Hash a caller's key.
    HashKey(HashKey),
}

/// Check a tree without a deployment: its keys, references, names, and that all fits in memory.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the tree's folder
    #[argh(positional)]
    pub tree: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Tell one request's story from the logs of serving nodes: what was decided, on what, and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain-request")]
pub struct ExplainRequest {
    /// the request's identifier
    #[argh(positional)]
    pub request: String,

    /// log files of nodes; standard input if there are none
    #[argh(positional)]
    pub logs: Vec<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Sum up from the logs of serving boxes what requests were lost to: refusals by cause and second, refusals by
/// servers, sends that failed, how long requests were held for what, and how far off estimates were.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub struct Losses {
    /// log files of boxes; standard input if there are none
    #[argh(positional)]
    pub logs: Vec<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the requests that serving boxes hold off, since servers crashed under them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "held-off")]
pub struct HeldOff {
    /// the address of a serving box's metrics; repeat it to name several
    #[argh(option, long = "box")]
    pub boxes: Vec<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Let a request go that serving boxes hold off: it may crash servers again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "let-go")]
pub struct LetGo {
    /// its fingerprint, as `held-off` shows it
    #[argh(positional)]
    pub fingerprint: String,

    /// the address of a serving box's metrics; repeat it to name several
    #[argh(option, long = "box")]
    pub boxes: Vec<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show what would change if a tree were applied: files, loads, unloads, names that disappear.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the tree's folder
    #[argh(positional)]
    pub tree: PathBuf,

    /// a box's operator address; repeat it to name several
    #[argh(option, long = "box")]
    pub boxes: Vec<String>,

    /// the file with the deployment's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Check a tree and make it the deployment's next revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the tree's folder
    #[argh(positional)]
    pub tree: PathBuf,

    /// a box's operator address; repeat it to name several
    #[argh(option, long = "box")]
    pub boxes: Vec<String>,

    /// the file with the deployment's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// who makes the change
    #[argh(option)]
    pub author: String,

    /// why the change is made
    #[argh(option)]
    pub reason: String,

    /// the revision that the change was made on; by default the one that this folder was last
    /// applied or compared as, or the accepted one for a new folder
    #[argh(option)]
    pub base: Option<u64>,

    /// let models and adapters disappear that callers can reach now
    #[argh(switch)]
    pub allow_removals: bool,

    /// return once the change is in force on every live box, or after this many milliseconds
    #[argh(option)]
    pub wait_ms: Option<u64>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show a box, the other boxes it knows, the shards it owns, and where models answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// a box's operator address; repeat it to name several
    #[argh(option, long = "box")]
    pub boxes: Vec<String>,

    /// the file with the deployment's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the effective values at a place of a tree, and the file and line that set each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the tree's folder
    #[argh(positional)]
    pub tree: PathBuf,

    /// the place: REGION/SERVICE, REGION/SERVICE/MODEL or REGION/SERVICE/MODEL/ADAPTER
    #[argh(positional)]
    pub path: String,

    /// the key; all of them if it is left out
    #[argh(positional)]
    pub key: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the audit trail: who changed what, and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// a box's operator address; repeat it to name several
    #[argh(option, long = "box")]
    pub boxes: Vec<String>,

    /// the file with the deployment's key
    #[argh(option)]
    pub key_file: PathBuf,

    /// only the last so much time, such as 15m or 2h
    #[argh(option)]
    pub last: Option<String>,

    /// only events of this name, such as tree_accepted or order_sent
    #[argh(option)]
    pub event: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Read a caller's key from standard input and print its hash for `key_blake3` in root.toml.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKey {}
