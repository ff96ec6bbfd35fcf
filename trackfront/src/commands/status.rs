//! `trackfront status`

use trackfront_adapters::wire::operator::Status as BoxStatus;

use crate::cli::Status;
use crate::client::{OperatorClient, print_json};
use crate::exit::Exit;

/// Shows the state of the first box that answers, and what it knows.
pub async fn run(args: &Status) -> anyhow::Result<Exit> {
    let client = OperatorClient::with_key_file(args.boxes.clone(), &args.key_file)?;
    let status = client.status().await?;
    if args.json {
        print_json(&status);
    } else {
        print(&status);
    }
    Ok(Exit::Done)
}

fn print(status: &BoxStatus) {
    println!(
        "box {} in {}: {:?}, revision {}",
        status.id, status.hall, status.state, status.revision
    );
    for member in &status.members {
        let id = member.id.as_ref().map_or("not heard", |id| id.as_str());
        let live = if member.live { "live" } else { "silent" };
        println!(
            "  {} in {} ({id}): {live}, {:?}, revision {}",
            member.address, member.hall, member.state, member.revision
        );
    }
    for shard in &status.shards {
        println!(
            "owns {} with fencing token {}, {} orders open",
            shard.shard, shard.fence, shard.open_orders
        );
        for engine in &shard.engines {
            let state = if engine.usable { "" } else { ", not usable" };
            println!("  {}: {} used, {} free{state}", engine.engine, engine.used, engine.free);
        }
    }
    let unreachable: Vec<&str> = status
        .items
        .iter()
        .filter(|item| item.ready_on == 0)
        .map(|item| item.name.as_str())
        .collect();
    let reachable = status.items.len() - unreachable.len();
    println!("{reachable} of {} models and adapters answer", status.items.len());
    if !unreachable.is_empty() {
        println!("on no engine: {}", unreachable.join(", "));
    }
}
