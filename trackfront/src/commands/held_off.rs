//! `trackfront held-off` and `trackfront let-go`

use std::time::Duration;

use anyhow::{bail, ensure};
use http::{Method, StatusCode};
use trackfront_adapters::http_client::{Answer, HttpClient, request, with_body};
use trackfront_adapters::wire::held_off::{HELD_OFF_PATH, HeldOff, LET_GO_PATH};

use crate::cli::{HeldOff as HeldOffArgs, LetGo};
use crate::client::{ClientError, print_json};
use crate::exit::Exit;

/// How long a box may take to answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Prints what the first box that answers holds off; every box holds off the same.
pub async fn list(args: &HeldOffArgs) -> anyhow::Result<Exit> {
    let answer = ask(&args.boxes, Method::GET, HELD_OFF_PATH).await?;
    print(&read(&answer)?, args.json);
    Ok(Exit::Done)
}

/// Lets a request go at all boxes, and prints what is still held off.
pub async fn let_go(args: &LetGo) -> anyhow::Result<Exit> {
    let path = format!("{LET_GO_PATH}{}", args.fingerprint);
    let answer = ask(&args.boxes, Method::POST, &path).await?;
    print(&read(&answer)?, args.json);
    Ok(Exit::Done)
}

async fn ask(boxes: &[String], method: Method, path: &str) -> anyhow::Result<Answer> {
    ensure!(!boxes.is_empty(), "no box is named; give the address of its metrics with --box");
    let client = HttpClient::default();
    let mut last = String::new();
    for address in boxes {
        let request = with_body(request(method.clone(), address, path), "")?;
        match client.fetch(request, ANSWER_TIME).await {
            Ok(answer) => return Ok(answer),
            Err(error) => last = format!("{address}: {error}"),
        }
    }
    Err(ClientError::NoAnswer(last).into())
}

fn read(answer: &Answer) -> anyhow::Result<Vec<HeldOff>> {
    if answer.status != StatusCode::OK {
        bail!("the box answers {}: {}", answer.status, String::from_utf8_lossy(&answer.body));
    }
    Ok(serde_json::from_slice(&answer.body)?)
}

fn print(all: &[HeldOff], as_json: bool) {
    if as_json {
        return print_json(&all);
    }
    println!("{} requests and parts of prompts held off", all.len());
    for one in all {
        let written = if one.written_down { "" } else { ", not written down yet" };
        let seconds = one.held_ms / 1_000;
        let HeldOff { fingerprint, servers, .. } = one;
        let kind = if one.is_part { "part of prompts" } else { "request" };
        println!(
            "  {kind} {fingerprint}: {servers} servers crashed under it, for {seconds} s{written}"
        );
    }
}
