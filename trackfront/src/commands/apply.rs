//! `trackfront apply`

use std::time::{Duration, Instant};

use serde::Serialize;
use trackfront_adapters::wire::operator::{ApplyAnswer, ApplyRequest};
use trackfront_core::ids::Revision;

use super::{build_checked, print_faults, read_files};
use crate::base;
use crate::cli::Apply;
use crate::client::{ClientError, OperatorClient, print_json};
use crate::exit::Exit;

/// How often the boxes are asked whether a change is in force.
const WAIT_STEP: Duration = Duration::from_millis(100);

/// Applies a tree and, if asked for, waits until it is in force.
pub async fn run(args: &Apply) -> anyhow::Result<Exit> {
    let files = read_files(&args.tree)?;
    if let Err(errors) = build_checked(&files) {
        return Ok(print_faults(&errors, args.json));
    }
    let client = OperatorClient::with_key_file(args.boxes.clone(), &args.key_file)?;
    let base = match args.base.map(Revision).or_else(|| base::read(&args.tree)) {
        Some(base) => base,
        None => client.tree().await?.map_or(Revision(0), |snapshot| snapshot.revision),
    };
    let wanted = ApplyRequest {
        txn: client.draw_txn()?,
        base,
        files,
        author: args.author.clone(),
        reason: args.reason.clone(),
        allow_removals: args.allow_removals,
    };
    let answer = client.apply(&wanted).await?;
    print_answer(&answer, args.json);
    let (ApplyAnswer::Accepted { revision } | ApplyAnswer::Unchanged { revision }) = answer else {
        return Ok(exit(&answer));
    };
    base::write(&args.tree, revision)?;
    match args.wait_ms {
        None => Ok(Exit::Done),
        Some(millis) => {
            let lag = wait_in_force(&client, revision, Duration::from_millis(millis)).await?;
            print_lag(&lag, args.json);
            Ok(if lag.lagging.is_empty() { Exit::Done } else { Exit::NotInForce })
        }
    }
}

fn exit(answer: &ApplyAnswer) -> Exit {
    match answer {
        ApplyAnswer::Accepted { .. } | ApplyAnswer::Unchanged { .. } => Exit::Done,
        ApplyAnswer::Conflict { .. } => Exit::Conflict,
        ApplyAnswer::Invalid { .. } | ApplyAnswer::Removes { .. } => Exit::Invalid,
        ApplyAnswer::NotApplied { .. } => Exit::NotApplied,
        ApplyAnswer::Unknown { .. } => Exit::Unknown,
    }
}

fn print_answer(answer: &ApplyAnswer, json: bool) {
    if json {
        print_json(answer);
        return;
    }
    match answer {
        ApplyAnswer::Accepted { revision } => println!("accepted as revision {revision}"),
        ApplyAnswer::Unchanged { revision } => println!("no change: revision {revision} stays"),
        ApplyAnswer::Conflict { revision, author, reason } => eprintln!(
            "not applied: {author} came first with revision {revision} ({reason}); see it with \
             `trackfront diff`, take it into your tree, and apply with --base {revision}"
        ),
        ApplyAnswer::Invalid { faults } => eprintln!("not applied:\n{}", faults.join("\n")),
        ApplyAnswer::Removes { names } => eprintln!(
            "not applied: callers would lose {}; apply with --allow-removals if that is meant",
            names.join(", ")
        ),
        ApplyAnswer::NotApplied { detail } => eprintln!("not applied: {detail}"),
        ApplyAnswer::Unknown { detail } => eprintln!(
            "not known whether applied: {detail}; run `trackfront diff` once the platform answers"
        ),
    }
}

/// Where a change is in force and where not.
#[derive(Debug, Serialize)]
pub struct Lag {
    /// The revision waited for.
    pub revision: Revision,
    /// How long it took, or how long was waited, in milliseconds.
    pub waited_ms: u64,
    /// The boxes that do not have it in force yet.
    pub lagging: Vec<String>,
}

/// Waits until `revision` is in force on every live box, or until `time` is over.
pub async fn wait_in_force(
    client: &OperatorClient,
    revision: Revision,
    time: Duration,
) -> Result<Lag, ClientError> {
    let start = Instant::now();
    loop {
        let lagging = lagging(client, revision).await?;
        if lagging.is_empty() || start.elapsed() >= time {
            let waited_ms = start.elapsed().as_millis() as u64;
            return Ok(Lag { revision, waited_ms, lagging });
        }
        tokio::time::sleep(WAIT_STEP).await;
    }
}

/// Returns the boxes, live or listed as live, that are not known to have the revision.
async fn lagging(client: &OperatorClient, revision: Revision) -> Result<Vec<String>, ClientError> {
    let status = client.status().await?;
    let own = (status.revision < revision).then(|| status.id.to_string());
    let others = status
        .members
        .iter()
        .filter(|member| (member.live || member.listed) && member.revision < revision)
        .map(|member| member.address.clone());
    Ok(own.into_iter().chain(others).collect())
}

fn print_lag(lag: &Lag, json: bool) {
    if json {
        print_json(lag);
    } else if lag.lagging.is_empty() {
        println!("in force on every live box after {} ms", lag.waited_ms);
    } else {
        eprintln!(
            "not in force after {} ms on {}; see their logs",
            lag.waited_ms,
            lag.lagging.join(", ")
        );
    }
}
