//! The platform's metadata store: tables of rows with versions, transactions and feeds.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, respond};
use crate::json::{Json, base64, kebab};
use crate::names;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// `None` once the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<Key, Row>,
}

#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Rows {
    fn current(&self, key: &Key) -> u64 {
        self.rows.get(key).filter(|row| row.value.is_some()).map_or(0, |row| row.ver)
    }

    fn json(&self, key: &Key) -> Json {
        let row = &self.rows[key];
        let mut map = BTreeMap::new();
        map.insert("table".into(), Json::Str(key.0.clone()));
        map.insert("part".into(), Json::Str(key.1.clone()));
        map.insert(kebab("private_key"), Json::Str(key.2.clone()));
        map.insert("ver".into(), Json::Num(row.ver as f64));
        match &row.value {
            Some(value) => map.insert("value".into(), Json::Str(value.clone())),
            None => map.insert("gone".into(), Json::Bool(true)),
        };
        Json::Obj(map)
    }
}

impl Store {
    pub fn start(address: &str) -> Arc<Store> {
        let store = Arc::new(Store::default());
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or an engine does, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let row = Row { value: value.map(|text| base64(text.as_bytes())), ver: rows.ver };
        rows.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
            let query = parse_query(query);
            let (status, answer) = match (head.method(), path) {
                ("GET", names::ROWS_GET_PATH) => self.get(&query),
                ("GET", names::ROWS_PARTS_PATH) => self.parts(&query),
                ("GET", names::ROWS_FEED_PATH) => self.feed(&query),
                ("POST", names::ROWS_TX_PATH) => self.transact(&body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            thread::sleep(Duration::from_millis(4));
            let headers = [("Content-Type", "application/json".to_owned())];
            if respond(&mut stream, status, &headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn get(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, source) = (text("table"), text("part"), text("source"));
        let target = query.get("target-version");
        let limit: usize = text("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let mut found: Vec<&Key> = Vec::new();
        for (key, row) in &rows.rows {
            let in_range = key.2 >= source && target.is_none_or(|target| key.2 < *target);
            if key.0 == table && key.1 == part && in_range && row.value.is_some() {
                found.push(key);
            }
        }
        let more = found.len() > limit;
        found.truncate(limit);
        let found = found.into_iter().map(|key| rows.json(key)).collect();
        ("200 OK", answer(rows.ver, found, Some(more)))
    }

    fn parts(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let table = query.get("table").cloned().unwrap_or_default();
        let rows = self.rows.lock().unwrap();
        let present = rows.rows.iter().filter(|(key, row)| key.0 == table && row.value.is_some());
        let mut parts: Vec<String> = present.map(|(key, _)| key.1.clone()).collect();
        parts.sort();
        parts.dedup();
        let parts = Json::Arr(parts.into_iter().map(Json::Str).collect()).text();
        let ver = rows.ver;
        ("200 OK", format!("{{\"parts\":{parts},\"more\":false,\"ver\":{ver},\"now_ms\":1}}"))
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<(u64, &Key)> = Vec::new();
            for (key, row) in &rows.rows {
                if key.0 == table && row.ver > after {
                    found.push((row.ver, key));
                }
            }
            found.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found = found.into_iter().map(|(_, key)| rows.json(key)).collect();
                return ("200 OK", answer(rows.ver, found, None));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body);
        let Some(call) = Json::parse(&text) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let key = |entry: &Json| -> Key {
            let text = |name: &str| entry.get(name).str().to_owned();
            (text("table"), text("part"), text(&kebab("private_key")))
        };
        let writes = || call.get("put").arr().iter().chain(call.get("remove").arr());
        if writes().any(|entry| matches!(entry.get("table").str(), "op" | "servers")) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut rows = self.rows.lock().unwrap();
        let conditions = call.get("expected-revision").arr();
        if !conditions.iter().all(|entry| rows.current(&key(entry)) == entry.get("ver").num()) {
            let present = conditions.iter().filter(|entry| rows.current(&key(entry)) > 0);
            let present = present.map(|entry| rows.json(&key(entry))).collect();
            return ("412 Precondition Failed", answer(rows.ver, present, None));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in call.get("put").arr() {
            let value = Some(entry.get("value").str().to_owned());
            rows.rows.insert(key(entry), Row { value, ver });
        }
        for entry in call.get("remove").arr() {
            rows.rows.insert(key(entry), Row { value: None, ver });
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"ver\":{ver},\"now_ms\":1}}"))
    }
}

fn answer(ver: u64, rows: Vec<Json>, more: Option<bool>) -> String {
    let rows = Json::Arr(rows).text();
    let more = more.map_or(String::new(), |more| format!(",\"more\":{more}"));
    format!("{{\"rows\":{rows}{more},\"ver\":{ver},\"now_ms\":1}}")
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), percent_decode(value))).collect()
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits: String = bytes.by_ref().take(2).map(char::from).collect();
            out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
