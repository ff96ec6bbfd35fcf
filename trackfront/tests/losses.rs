//! `trackfront losses` over logs of several boxes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use trackfront::losses::{LossCounter, Losses};
use trackfront::story::LogLine;

const LOG: &str = r#"
{"time":"2026-05-30T11:14:10.000Z","node":"a","level":"INFO","event":"first event","request":"r0","ms":50,"expected_ms":100}
{"time":"2026-05-30T11:14:10.100Z","node":"a","level":"INFO","event":"first event","request":"r9","ms":300,"expected_ms":100}
{"time":"2026-05-30T11:14:10.200Z","node":"a","level":"INFO","event":"request ended","request":"r0","outcome":"answered","cause":""}
{"time":"2026-05-30T11:14:12.300Z","node":"b","level":"INFO","event":"request ended","request":"r1","outcome":"no_server","cause":"no server can answer now: none is free in time; the request has not run, come back later"}
{"time":"2026-05-30T11:14:12.400Z","node":"b","level":"INFO","event":"request ended","request":"r2","outcome":"no_server","cause":"no server can answer now: no engine holds the model; the request has not run, come back later"}
{"time":"2026-05-30T11:14:12.500Z","node":"b","level":"INFO","event":"server refused","request":"r3","status":503,"misdirected":false,"replaced":false}
{"time":"2026-05-30T11:14:12.600Z","node":"b","level":"INFO","event":"server refused","request":"r3","status":421,"misdirected":true,"replaced":true}
{"time":"2026-05-30T11:14:12.700Z","node":"b","level":"INFO","event":"not sent","request":"r3","cause":"connection refused"}
{"time":"2026-05-30T11:14:12.800Z","node":"b","level":"INFO","event":"request held","request":"r2","lack":"no engine holds the model","ms":300,"outcome":"did not come"}
not a log line
"#;

fn losses() -> Losses {
    let mut counter = LossCounter::default();
    for line in LOG.lines().filter(|line| !line.is_empty()) {
        counter.take(LogLine::read(line, "file").as_ref());
    }
    counter.sum_up()
}

#[test]
fn requests_are_counted_by_what_they_were_lost_to() {
    let losses = losses();
    assert_eq!((losses.lines, losses.foreign), (9, 1));
    assert_eq!(losses.ended["answered"][""], 1);
    assert_eq!(losses.ended["no_server"]["none is free in time"], 1);
    assert_eq!(losses.refused_by_second[&2].len(), 2, "both causes in the third second");
    assert_eq!(losses.refused_by_servers["503"], 1);
    assert_eq!(losses.refused_by_servers["421, another run has the address"], 1);
    assert_eq!(losses.failed_sends["not sent"], 1);
    assert_eq!(losses.held_ms["no engine holds the model: did not come"].count, 1);
    assert_eq!(losses.first_event_ratio.quantiles, [0.5, 0.5, 0.5], "of two values the lower ones");
}

/// A box that woke answers what was under way with refusals and time-outs; operators look for a cause there in vain.
#[test]
fn requests_that_ended_unanswered_around_a_standstill_of_their_box_are_counted() {
    let line = |second: u32, node: &str, event: &str, outcome: &str| {
        format!(
            "{{\"time\":\"2026-05-30T11:14:{second}.000Z\",\"node\":\"{node}\",\"level\":\"INFO\",\
             \"event\":\"{event}\",\"ms\":4000,\"request\":\"r\",\"outcome\":\"{outcome}\"}}"
        )
    };
    let mut counter = LossCounter::default();
    for line in [
        line(10, "a", "request ended", "no_server"),
        line(19, "a", "request ended", "timed_out"),
        line(20, "a", "machine was suspended", ""),
        line(21, "a", "request ended", "timed_out"),
        line(21, "a", "request ended", "answered"),
        line(21, "b", "request ended", "no_server"),
        line(40, "a", "request ended", "no_server"),
        line(50, "b", "process stood still", ""),
        line(51, "b", "request ended", "no_server"),
    ] {
        counter.take(LogLine::read(&line, "file").as_ref());
    }
    let losses = counter.sum_up();
    assert_eq!(losses.around_standstills["timed_out"], 2);
    assert_eq!(losses.around_standstills["no_server"], 1);
    assert_eq!(losses.around_standstills.len(), 2, "answered requests are no losses");
}

#[test]
fn requests_of_client_accounts_are_counted_by_account() {
    let end = |second: u32, account: &str, outcome: &str, cause: &str| {
        format!(
            "{{\"time\":\"2026-05-30T11:14:1{second}.000Z\",\"node\":\"a\",\"level\":\"INFO\",\
             \"event\":\"request ended\",\"request\":\"r\",\"account\":\"{account}\",\
             \"outcome\":\"{outcome}\",\"cause\":\"{cause}\"}}"
        )
    };
    let reached = |account: &str| {
        format!(
            "the client account {account} has reached its limit; the request has not run, come back later"
        )
    };
    let mut counter = LossCounter::default();
    for line in [
        end(0, "acct-1", "answered", ""),
        end(2, "acct-1", "limit_reached", &reached("acct-1")),
        end(2, "acct-2", "limit_reached", &reached("acct-2")),
        end(3, "", "answered", ""),
    ] {
        counter.take(LogLine::read(&line, "file").as_ref());
    }
    let losses = counter.sum_up();
    assert_eq!(losses.by_account.len(), 2, "a request without an account is none's");
    assert_eq!(losses.by_account["acct-1"]["answered"], 1);
    assert_eq!(losses.by_account["acct-1"]["limit_reached"], 1);
    assert_eq!(losses.refused_by_second[&2]["the account has reached its limit"], 2);
}

fn command(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_trackfront"))
        .arg("losses")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("it reads");
    child.wait_with_output().expect("it ends")
}

#[test]
fn the_command_prints_text_and_json() {
    let text = command(&[], LOG);
    assert!(text.status.success());
    let text = String::from_utf8(text.stdout).expect("text");
    assert!(text.contains("2 s: 1 no engine holds the model, 1 none is free in time"), "{text}");
    let json = command(&["--json"], LOG);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["refused_by_servers"]["503"], 1);
}

#[test]
fn what_is_no_log_is_said() {
    let output = command(&[], "nothing of ours\n");
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains("none of 1 lines is a log line"), "{error}");
    let missing = command(&["/no/such/file.log"], "");
    let error = String::from_utf8(missing.stderr).expect("text");
    assert!(error.contains("name a log file"), "{error}");
}
