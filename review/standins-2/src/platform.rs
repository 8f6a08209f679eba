//! Stand-in of the platform's metadata store, which is always up and answers after 4 ms.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::encoding::{Json, base64};
use crate::http::{Request, respond};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const JSON_TYPE: (&str, &str) = ("Content-Type", "application/json");

#[derive(Default)]
struct Items {
    revision: u64,
    /// Values in base64, with the revisions of their last change.
    items: BTreeMap<String, (String, u64)>,
    changes: Vec<(u64, String)>,
}

impl Items {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        match value {
            Some(value) => {
                self.items.insert(key.to_owned(), (value, self.revision));
            }
            None => drop(self.items.remove(key)),
        }
        self.changes.push((self.revision, key.to_owned()));
    }

    fn item(&self, key: &str) -> Option<String> {
        let (value, revision) = self.items.get(key)?;
        Some(format!(
            r#"{{"Key":"{key}","Value":"{value}","Rev":{revision},"made":{revision},"lease":0,"at":{}}}"#,
            self.revision
        ))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let changes = self.changes.iter();
        let changes = changes.filter(|(at, key)| *at > after && key.starts_with(prefix));
        let event = |(at, key): &(u64, String)| {
            let gone = || format!(r#"{{"Key":"{key}","Rev":{at},"gone":true}}"#);
            self.item(key).unwrap_or_else(gone)
        };
        changes.map(event).collect()
    }
}

/// The metadata store.
#[derive(Clone, Default)]
pub struct Platform(Arc<(Mutex<Items>, Condvar)>);

impl Platform {
    /// Starts to serve at this address.
    pub fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let platform = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                std::thread::spawn(move || platform.serve_connection(stream));
            }
        });
        Ok(())
    }

    /// Writes an item on behalf of the operator or of a replica.
    pub fn put(&self, key: &str, value: &str) {
        let (items, changed) = &*self.0;
        items
            .lock()
            .unwrap()
            .write(key, Some(base64(value.as_bytes())));
        changed.notify_all();
    }

    /// Returns whether there is an item with this key.
    pub fn has(&self, key: &str) -> bool {
        self.0.0.lock().unwrap().items.contains_key(key)
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = BufReader::new(stream.try_clone()?);
        while let Some(request) = Request::read(&mut input)? {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            respond(&mut stream, status, &[JSON_TYPE], body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let (items, _) = &*self.0;
        let prefix = request.parameter("PathPrefix").unwrap_or_default();
        match request.path() {
            "/-/kv-key" => {
                let key = request.parameter("Key").unwrap_or_default();
                match items.lock().unwrap().item(&key) {
                    Some(item) => ("200 OK", item),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            "/-/kv-range" => {
                let items = items.lock().unwrap();
                let after = request.parameter("after").unwrap_or_default();
                let keys = items.items.keys();
                let keys = keys.filter(|key| key.starts_with(&prefix) && **key > after);
                let listed: Vec<String> = keys.filter_map(|key| items.item(key)).collect();
                let at = items.revision;
                let body = format!(
                    r#"{{"items":[{}],"more":false,"at":{at}}}"#,
                    listed.join(",")
                );
                ("200 OK", body)
            }
            "/-/kv-watch" => ("200 OK", self.watch(&prefix, request)),
            "/-/kv-txn" => self.transact(&request.body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, request: &Request) -> String {
        let number = |name| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(1000));
        let (items, changed) = &*self.0;
        let mut items = items.lock().unwrap();
        loop {
            let events = items.events(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = items.revision;
                return format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
            }
            items = changed.wait_timeout(items, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let (items, changed) = &*self.0;
        let mut items = items.lock().unwrap();
        let holds = |condition: &Json| {
            let known = condition.text("Key").and_then(|key| items.items.get(key));
            known.map_or(0, |(_, revision)| *revision) == condition.number("Rev").unwrap_or(0)
        };
        if !call.list("ExpectRev").iter().all(holds) {
            return ("412 Precondition Failed", r#"{"items":[]}"#.to_owned());
        }
        for put in call.list("put") {
            if let (Some(key), Some(value)) = (put.text("Key"), put.text("Value")) {
                items.write(key, Some(value.to_owned()));
            }
        }
        changed.notify_all();
        ("200 OK", format!(r#"{{"Rev":{}}}"#, items.revision))
    }
}
