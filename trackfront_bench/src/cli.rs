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
    /// The cost of a routing decision.
    Route(Route),
    /// Attainment under shifting demand.
    Burst(Burst),
    /// Calls that may run once.
    Repeat(Repeat),
    /// Planned stops.
    Drain(Drain),
    /// The cost of a round of planning.
    Plan(Plan),
    /// A plan of a serving deployment.
    ServingPlan(ServingPlan),
    /// Changes of servers at a box.
    ServingList(ServingList),
    /// Stale owners and late orders.
    Fences(Fences),
    /// Moves and attainment of planners.
    Moves(Moves),
    /// How fast a tree comes into force.
    Spread(Spread),
    /// What control costs a box.
    Control(Control),
    /// The page on capacity.
    Capacity(Capacity),
}

impl Question {
    /// The names of all measurements.
    pub const NAMES: &'static [&'static str] = &[
        "path", "route", "burst", "repeat", "drain", "plan", "fences", "moves", "spread", "control",
    ];
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

/// The time and memory of a routing decision at growing numbers of engines and models.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "route")]
pub struct Route {
    /// engines at the largest size
    #[argh(option, default = "1300")]
    pub engines: usize,

    /// models at the largest size
    #[argh(option, default = "850")]
    pub models: usize,

    /// entry boxes; a decision does not depend on them
    #[argh(option, default = "320")]
    pub nodes: usize,
}

/// Attainment under a demand that shifts tenfold, beside baselines in the same run.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burst")]
pub struct Burst {
    /// the tree's folder
    #[argh(positional)]
    pub tree: String,

    /// the seconds of demand
    #[argh(option, default = "300")]
    pub seconds: u64,

    /// the seed of the demand
    #[argh(option, default = "1")]
    pub seed: u64,

    /// loads to try, as multiples of the usual, separated by commas
    #[argh(option, default = "String::from(\"0.5,1,1.5,2,3\")")]
    pub load: String,
}

impl Burst {
    /// Returns the loads to try.
    pub fn loads(&self) -> Vec<f64> {
        self.load.split(',').filter_map(|text| text.trim().parse().ok()).collect()
    }
}

/// Calls that may run once, with duplicates, dying boxes and store outages.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "repeat")]
pub struct Repeat {
    /// how many calls are sent
    #[argh(option, default = "100000")]
    pub calls: usize,
}

/// Planned stops of boxes and engines under load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// how many stops
    #[argh(option, default = "1000")]
    pub stops: usize,
}

/// The time and memory of a round of planning, for each hall's shard.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// engines in all halls
    #[argh(option, default = "1300")]
    pub engines: usize,

    /// models in all halls
    #[argh(option, default = "850")]
    pub models: usize,
}

/// What a plan of models and adapters costs that a box of a serving deployment makes some times a second.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serving-plan")]
pub struct ServingPlan {}

/// What a message with a change of servers costs a box of a serving deployment.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serving-list")]
pub struct ServingList {}

/// Random steps of pauses, takeovers, lost and late orders, for engines that check fencing
/// tokens and engines that do not.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "fences")]
pub struct Fences {
    /// how many steps
    #[argh(option, default = "100000")]
    pub steps: u64,

    /// the seed
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Moves and attainment over a demand with tenfold shifts, a lost engine and new versions, beside
/// other planners in the same run.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct Moves {
    /// the tree's folder
    #[argh(positional)]
    pub tree: String,

    /// the seconds of demand
    #[argh(option, default = "600")]
    pub seconds: u64,

    /// the load, as a multiple of the usual
    #[argh(option, default = "1.0")]
    pub load: f64,

    /// the seed of the demand
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// The time from a tree's acceptance until it is in force on every box.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct Spread {
    /// entry boxes, over three halls
    #[argh(option, default = "9")]
    pub boxes: usize,

    /// changes for each fault
    #[argh(option, default = "100")]
    pub changes: usize,
}

/// What a box spends on control while nobody calls, at growing numbers of boxes and engines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// boxes at the largest size
    #[argh(option, default = "36")]
    pub boxes: usize,

    /// engines at the largest size
    #[argh(option, default = "48")]
    pub engines: usize,
}

/// Check docs/CAPACITY.md: its tables parse, and every command that it names exists.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// only check the page; the figures themselves are written by hand for now
    #[argh(switch)]
    pub check: bool,
}
