//! The command line of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Serves callers of a trackfront deployment from this box.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// the settings file of this box
    #[argh(option)]
    pub settings: PathBuf,

    /// only check the settings and exit
    #[argh(switch)]
    pub check: bool,
}
