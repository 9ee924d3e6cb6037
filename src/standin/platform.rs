//! Stand-in for the platform's object API.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex};

use bytes::Bytes;
use http::{Method, Request};
use tokio::sync::{broadcast, mpsc};

use crate::{
    catalog::AnyObject,
    http::{Chunk, Handler, Reply},
    platform::{Event, Version},
};

const PREFIX: &str = "/apis/cranberrytally/v1";
const HISTORY: usize = 4096;

/// The objects and their history.
#[derive(Debug)]
pub struct PlatformStandin {
    state: Mutex<State>,
    tx: broadcast::Sender<Event>,
}

#[derive(Debug, Default)]
struct State {
    version: Version,
    objects: BTreeMap<(String, String), AnyObject>,
    history: Vec<Event>,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self { state: Mutex::default(), tx: broadcast::channel(HISTORY).0 }
    }
}

impl PlatformStandin {
    /// Writes an object if its version matches.
    ///
    /// # Errors
    /// The object as it is now, when another write came first.
    pub fn put(&self, mut obj: AnyObject) -> Result<AnyObject, Box<Option<AnyObject>>> {
        let mut state = self.lock();
        let key = (obj.kind.clone(), obj.metadata.name.clone());
        let current = state.objects.get(&key);
        let version = current.map_or("", |o| o.metadata.resource_version.as_str());
        if version != obj.metadata.resource_version {
            return Err(Box::new(current.cloned()));
        }
        state.version += 1;
        obj.metadata.resource_version = state.version.to_string();
        state.objects.insert(key, obj.clone());
        let event = Event { version: state.version, deleted: false, object: obj.clone() };
        state.history.push(event.clone());
        let _ = self.tx.send(event);
        Ok(obj)
    }

    fn list(&self) -> Reply {
        let state = self.lock();
        let items: Vec<_> = state.objects.values().collect();
        Reply::json(200, &serde_json::json!({ "version": state.version, "items": items }))
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        match self.lock().objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(obj) => Reply::json(200, obj),
            None => Reply::full(404, ""),
        }
    }

    fn watch(&self, from: Version) -> Reply {
        let (tx, rx) = mpsc::channel(HISTORY);
        let (old, mut live) = {
            let state = self.lock();
            let old: Vec<_> = state.history.iter().filter(|e| e.version > from).cloned().collect();
            (old, self.tx.subscribe())
        };
        tokio::spawn(async move {
            for event in old {
                if tx.send(line(&event)).await.is_err() {
                    return;
                }
            }
            while let Ok(event) = live.recv().await {
                if tx.send(line(&event)).await.is_err() {
                    return;
                }
            }
        });
        Reply::stream(200, rx)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn line(event: &Event) -> Chunk {
    let mut bytes = serde_json::to_vec(event).unwrap_or_default();
    bytes.push(b'\n');
    Ok(Bytes::from(bytes))
}

impl Handler for PlatformStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        let Some(path) = req.uri().path().strip_prefix(PREFIX) else { return Reply::full(404, "") };
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (req.method(), parts.as_slice()) {
            (&Method::GET, ["objects"]) => self.list(),
            (&Method::GET, ["objects", kind, name]) => self.get(kind, name),
            (&Method::GET, ["watch"]) => {
                let from = req.uri().query().and_then(|q| q.strip_prefix("from=")?.parse().ok());
                self.watch(from.unwrap_or(0))
            }
            (&Method::PUT, ["objects", ..]) => match serde_json::from_slice(req.body()) {
                Ok(obj) => match self.put(obj) {
                    Ok(obj) => Reply::json(200, &obj),
                    Err(current) => Reply::json(409, &current),
                },
                Err(e) => Reply::full(400, format!("{{\"error\":{:?}}}", e.to_string())),
            },
            _ => Reply::full(404, ""),
        }
    }
}
