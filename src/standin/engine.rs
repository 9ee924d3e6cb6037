//! Stand-in for a model engine: streams tokens and remembers which chats' prefixes it has cached.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request};
use tokio::sync::mpsc;

use crate::http::{Handler, Reply};

const STREAM_DEPTH: usize = 4;

/// A model engine with a bounded prefix cache.
#[derive(Debug)]
pub struct EngineStandin {
    cache: Mutex<VecDeque<String>>,
    cache_size: usize,
    tokens: usize,
    token_time: Duration,
    running: std::sync::Arc<AtomicU32>,
    hits: AtomicU64,
    returns: AtomicU64,
    requests: AtomicU64,
}

impl EngineStandin {
    /// Engine that answers `tokens` tokens, one every `token_time`, and caches `cache_size` chats.
    pub fn new(tokens: usize, token_time: Duration, cache_size: usize) -> Self {
        Self {
            cache: Mutex::default(),
            cache_size,
            tokens,
            token_time,
            running: Default::default(),
            hits: AtomicU64::new(0),
            returns: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        }
    }

    /// Requests, returning requests, and returning requests that found their prefix cached.
    pub fn counts(&self) -> (u64, u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&self.requests), load(&self.returns), load(&self.hits))
    }

    fn chat(&self, req: &Request<Bytes>) -> Reply {
        let chat = req.headers().get("x-chat").and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
        let body: serde_json::Value = match serde_json::from_slice(req.body()) {
            Ok(body) => body,
            Err(_) => return Reply::full(400, ""),
        };
        let turns = body.get("messages").and_then(|m| m.as_array()).map_or(0, Vec::len);
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.touch(&chat, turns > 1);
        let (tx, rx) = mpsc::channel(STREAM_DEPTH);
        let (tokens, pause, running) = (self.tokens, self.token_time, self.running.clone());
        running.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            for i in 0..tokens {
                tokio::time::sleep(pause).await;
                let delta =
                    serde_json::json!({ "choices": [{ "delta": { "content": format!("{chat}:{i} ") } }] });
                if tx.send(Ok(Bytes::from(format!("data: {delta}\n\n")))).await.is_err() {
                    break;
                }
            }
            let _ = tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
            running.fetch_sub(1, Ordering::Relaxed);
        });
        Reply::stream(200, rx).with_header("content-type", "text/event-stream")
    }

    fn touch(&self, chat: &str, returning: bool) {
        let mut cache = self.cache.lock().unwrap_or_else(|e| e.into_inner());
        let at = cache.iter().position(|c| c == chat);
        if returning {
            self.returns.fetch_add(1, Ordering::Relaxed);
            self.hits.fetch_add(u64::from(at.is_some()), Ordering::Relaxed);
        }
        if let Some(at) = at {
            cache.remove(at);
        }
        cache.push_back(chat.to_owned());
        if cache.len() > self.cache_size {
            cache.pop_front();
        }
    }
}

impl Handler for EngineStandin {
    async fn handle(&self, req: Request<Bytes>, _peer: SocketAddr) -> Reply {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(&req),
            (&Method::GET, "/load") => {
                Reply::json(200, &serde_json::json!({ "running": self.running.load(Ordering::Relaxed) }))
            }
            _ => Reply::full(404, ""),
        }
    }
}
