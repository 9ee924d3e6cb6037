//! Stand-in for a caller: asks for addresses, keeps them, sends chats and saves, and goes to the next address when a
//! router is gone.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};

use super::outside::{MODEL, SERVICE};
use crate::client::Client;

const TIMEOUT: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(50);

/// One caller with one chat.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    workspace: String,
    chat: String,
    hint: String,
    turns: usize,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

/// A caller's view of one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `x-outcome` header.
    pub outcome: String,
    /// Whole body.
    pub body: String,
}

impl Caller {
    /// Caller of `workspace` that knows some addresses of routers.
    pub fn new(workspace: &str, chat: &str, addresses: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::default(),
            workspace: workspace.into(),
            chat: chat.into(),
            hint: String::new(),
            turns: 0,
            addresses,
            timeout: TIMEOUT,
        }
    }

    /// Sets the longest time from a request to the end of its answer.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Uses these addresses from now on.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
    }

    /// Asks the first router that answers which addresses to use.
    ///
    /// # Errors
    /// When no known router answers.
    pub async fn fetch_addresses(&mut self) -> Result<()> {
        for addr in self.addresses.clone() {
            let url = format!(
                "http://{addr}/v1/entry?key={}&workspace={}&model={MODEL}",
                self.chat, self.workspace
            );
            let Ok((200, value)) = self.client.json(Method::GET, &url, None, TIMEOUT).await else { continue };
            let list = value["addresses"].as_array().context("an entry answer without addresses")?;
            self.addresses =
                list.iter().filter_map(|a| a.as_str()?.parse().ok()).chain([addr]).collect::<Vec<_>>();
            return Ok(());
        }
        Err(anyhow!("no router answers"))
    }

    /// Sends the chat's next turn until a router answers it whole; at most `tries` times.
    ///
    /// # Errors
    /// When every try failed; says what the last one saw.
    pub async fn send_turn(&mut self, tries: usize) -> Result<Answer> {
        let mut last = anyhow!("no address");
        for i in 0..tries {
            let addr = self.addresses[i % self.addresses.len()];
            match self.try_turn(addr).await {
                Ok(answer) if answer.status == 200 => {
                    self.turns += 1;
                    return Ok(answer);
                }
                Ok(answer) => last = anyhow!("refused with {}: {}", answer.status, answer.body),
                Err(e) => last = e,
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(last)
    }

    async fn try_turn(&mut self, addr: SocketAddr) -> Result<Answer> {
        let message = |t| serde_json::json!({ "role": "user", "content": format!("{} turn {t}", self.chat) });
        let messages: Vec<_> = (0..=self.turns).map(message).collect();
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

    /// Sends one save under an idempotency key to one address.
    ///
    /// # Errors
    /// When no whole answer came, so that the outcome is not known.
    pub async fn save(&self, addr: SocketAddr, key: &str) -> Result<Answer> {
        self.save_attempt(addr, key, false).await
    }

    /// Like [`Caller::save`]; `first` states that no earlier attempt under the key may have run.
    ///
    /// # Errors
    /// When no whole answer came, so that the outcome is not known.
    pub async fn save_attempt(&self, addr: SocketAddr, key: &str, first: bool) -> Result<Answer> {
        let mut req = Request::post(format!("http://{addr}/services/{SERVICE}/progress"))
            .header("content-type", "application/json")
            .header("x-workspace", &self.workspace)
            .header("idempotency-key", key);
        if first {
            req = req.header("x-first-attempt", "true");
        }
        let req = req.body(Full::new(Bytes::from(format!("{{\"save\":{key:?}}}"))))?;
        Ok(self.send(req).await?.1)
    }

    /// The addresses in use.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Whether `answer` is the whole answer of `tokens` tokens to this caller's chat and holds nothing else.
    pub fn is_complete(&self, answer: &Answer, tokens: usize) -> bool {
        let all = (0..tokens).all(|i| answer.body.contains(&format!("\"{}:{i} \"", self.chat)));
        all && answer.body.contains("data: [DONE]") && answer.body.matches("\"content\"").count() == tokens
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<(http::response::Parts, Answer)> {
        let work = async {
            let res =
                self.client.send(req).await.map_err(|e| anyhow!("could not reach the router: {e:?}"))?;
            let (head, body) = res.into_parts();
            let body = body.collect().await.context("the answer was cut")?.to_bytes();
            let outcome =
                head.headers.get("x-outcome").and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
            let body = String::from_utf8(body.to_vec()).context("the answer is no text")?;
            let answer = Answer { status: head.status.as_u16(), outcome, body };
            Ok((head, answer))
        };
        tokio::time::timeout(self.timeout, work).await.context("no answer in time")?
    }
}
