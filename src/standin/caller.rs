//! Stand-in for a caller: fetches and caches router addresses, sends chats and saves, and tries the next address when a
//! router fails.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};

use super::outside::{MODEL, SERVICE};
use crate::client::Client;

/// Default time limit from a request to the end of its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed attempt of a turn.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Caller with one chat.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    workspace: String,
    chat: String,
    hint: String,
    completed_turns: usize,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

/// Answer as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `x-outcome` header.
    pub outcome: String,
    /// Complete body.
    pub body: String,
}

impl Caller {
    /// Caller of `workspace` with initial router addresses.
    pub fn new(workspace: &str, chat: &str, addresses: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::default(),
            workspace: workspace.into(),
            chat: chat.into(),
            hint: String::new(),
            completed_turns: 0,
            addresses,
            timeout: REQUEST_TIMEOUT,
        }
    }

    /// Sets the time limit from a request to the end of its answer.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Replaces the router addresses.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Replaces the addresses by those in the entry response of the first router that answers, followed by that
    /// router's own address.
    ///
    /// # Errors
    /// If no router answers.
    pub async fn fetch_addresses(&mut self) -> Result<()> {
        for addr in self.addresses.clone() {
            let url = format!(
                "http://{addr}/v1/entry?key={}&workspace={}&model={MODEL}",
                self.chat, self.workspace
            );
            let Ok((200, value)) = self.client.json(Method::GET, &url, None, REQUEST_TIMEOUT).await else {
                continue;
            };
            let list = value["addresses"].as_array().context("the entry response has no addresses")?;
            self.addresses =
                list.iter().filter_map(|a| a.as_str()?.parse().ok()).chain([addr]).collect::<Vec<_>>();
            return Ok(());
        }
        Err(anyhow!("no router answered"))
    }

    /// Sends the next turn of the chat until a router answers it with status 200, at most `max_attempts` times.
    ///
    /// # Errors
    /// Returns the failure of the last attempt if all attempts fail.
    pub async fn send_turn(&mut self, max_attempts: usize) -> Result<Answer> {
        let mut last = anyhow!("no router address");
        for i in 0..max_attempts {
            let addr = self.addresses[i % self.addresses.len()];
            match self.try_turn(addr).await {
                Ok(answer) if answer.status == 200 => {
                    self.completed_turns += 1;
                    return Ok(answer);
                }
                Ok(answer) => last = anyhow!("refused with status {}: {}", answer.status, answer.body),
                Err(e) => last = e,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(last)
    }

    async fn try_turn(&mut self, addr: SocketAddr) -> Result<Answer> {
        let message = |t| serde_json::json!({ "role": "user", "content": format!("{} turn {t}", self.chat) });
        let messages: Vec<_> = (0..=self.completed_turns).map(message).collect();
        let body = serde_json::json!({ "model": MODEL, "stream": true, "messages": messages });
        let req = Request::post(format!("http://{addr}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header("x-workspace", &self.workspace)
            .header("x-chat", &self.chat)
            .header("x-placement-hint", &self.hint)
            .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
        let (head, answer) = self.send(req).await?;
        if let Some(hint) = head.headers.get("x-placement-hint") {
            self.hint = hint.to_str()?.to_owned();
        }
        Ok(answer)
    }

    /// Sends a save with an idempotency key to one router.
    ///
    /// # Errors
    /// If no complete answer arrives, so that the outcome is unknown.
    pub async fn save(&self, addr: SocketAddr, key: &str) -> Result<Answer> {
        self.save_attempt(addr, key, false).await
    }

    /// Like [`Caller::save`]; `is_first_attempt` states that no earlier attempt with the key may have run.
    ///
    /// # Errors
    /// If no complete answer arrives, so that the outcome is unknown.
    pub async fn save_attempt(&self, addr: SocketAddr, key: &str, is_first_attempt: bool) -> Result<Answer> {
        let mut req = Request::post(format!("http://{addr}/services/{SERVICE}/progress"))
            .header("content-type", "application/json")
            .header("x-workspace", &self.workspace)
            .header("idempotency-key", key);
        if is_first_attempt {
            req = req.header("x-first-attempt", "true");
        }
        let req = req.body(Full::new(Bytes::from(format!("{{\"save\":{key:?}}}"))))?;
        Ok(self.send(req).await?.1)
    }

    /// Current router addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Whether `answer` consists of exactly the `tokens` tokens of this caller's chat and the final marker.
    pub fn is_complete(&self, answer: &Answer, tokens: usize) -> bool {
        let has_all_tokens = (0..tokens).all(|i| answer.body.contains(&format!("\"{}:{i} \"", self.chat)));
        has_all_tokens
            && answer.body.contains("data: [DONE]")
            && answer.body.matches("\"content\"").count() == tokens
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<(http::response::Parts, Answer)> {
        let exchange = async {
            let res =
                self.client.send(req).await.map_err(|e| anyhow!("could not reach the router: {e:?}"))?;
            let (head, body) = res.into_parts();
            let body =
                body.collect().await.context("the connection broke before the end of the answer")?.to_bytes();
            let outcome =
                head.headers.get("x-outcome").and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
            let body = String::from_utf8(body.to_vec()).context("the answer is not valid UTF-8")?;
            let answer = Answer { status: head.status.as_u16(), outcome, body };
            Ok((head, answer))
        };
        tokio::time::timeout(self.timeout, exchange).await.context("the request timed out")?
    }
}
