//! The command line of the benchmarks.

use argh::FromArgs;

/// Measures trackfront against its own stand-ins and baselines.
#[derive(Debug, FromArgs)]
pub struct Cli {
    #[argh(subcommand)]
    /// what to measure
    pub question: Question,
}

/// What to measure.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Question {
    /// The cost of the way through an entry box.
    Path(Path),
}

/// What a streamed answer through an entry box costs beside the same load sent directly to the
/// stand-in engine: time to the first token, time between tokens, requests a second.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
pub struct Path {
    /// requests in each run
    #[argh(option, default = "2000")]
    pub requests: usize,

    /// requests at once in the latency run
    #[argh(option, default = "8")]
    pub at_once: usize,

    /// tokens of each answer
    #[argh(option, default = "16")]
    pub tokens: u64,
}
