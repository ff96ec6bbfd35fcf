//! `trackfront audit`

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use trackfront_core::audit::AuditRecord;

use crate::cli::Audit;
use crate::client::{OperatorClient, print_json};
use crate::exit::Exit;

/// Shows the audit trail.
pub async fn run(args: &Audit) -> anyhow::Result<Exit> {
    let client = OperatorClient::with_key_file(args.boxes.clone(), &args.key_file)?;
    let since_ms = match &args.last {
        None => 0,
        Some(text) => since(text)?,
    };
    let records = client.audit(since_ms).await?;
    let wanted = records
        .iter()
        .filter(|record| args.event.as_deref().is_none_or(|name| name == record.event.name()));
    for record in wanted {
        if args.json {
            print_json(record);
        } else {
            print(record);
        }
    }
    Ok(Exit::Done)
}

/// Returns the time so much before now, in milliseconds since the Unix epoch.
fn since(text: &str) -> anyhow::Result<u64> {
    let last = humantime::parse_duration(text)
        .with_context(|| format!("`{text}` is not a time; write it as 15m or 2h"))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(now.saturating_sub(last).as_millis() as u64)
}

fn print(record: &AuditRecord) {
    let at = UNIX_EPOCH + Duration::from_millis(record.at.0);
    let event = serde_json::to_string(&record.event).unwrap_or_default();
    println!("{} {} {event}", humantime::format_rfc3339_millis(at), record.by);
}
