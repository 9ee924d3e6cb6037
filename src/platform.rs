//! Client of the platform's object API: get, list, create, conditional update, delete and watch.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use bytes::{Bytes, BytesMut};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::{catalog::AnyObject, client::Client};

/// Version of an object or of the whole collection.
pub type Version = u64;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// In force as this object.
    Done(AnyObject),
    /// Another write came first; the object as it is now, if it exists.
    Conflict(Option<AnyObject>),
    /// No answer came; the write may have taken effect.
    Unknown,
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    base: String,
}

/// A list of objects with the collection's version.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct List {
    /// Version of the collection.
    pub version: Version,
    /// Objects of all kinds, or of the kind asked for.
    pub items: Vec<AnyObject>,
}

/// One change seen by a watch.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Version of the collection after the change.
    pub version: Version,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// The object.
    pub object: AnyObject,
}

impl Platform {
    /// Client of the platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { client: Client::default(), base: format!("http://{addr}/apis/cranberrytally/v1") }
    }

    /// Lists the objects of all configuration kinds.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn list(&self) -> Result<List> {
        let (status, value) =
            self.client.json(Method::GET, &format!("{}/objects", self.base), None, CALL_TIMEOUT).await?;
        anyhow::ensure!(status == 200, "the platform answered {status}");
        serde_json::from_value(value).context("could not parse the list")
    }

    /// Reads one object.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<AnyObject>> {
        let url = format!("{}/objects/{kind}/{name}", self.base);
        let (status, value) = self.client.json(Method::GET, &url, None, CALL_TIMEOUT).await?;
        match status {
            200 => Ok(Some(serde_json::from_value(value).context("could not parse the object")?)),
            404 => Ok(None),
            _ => anyhow::bail!("the platform answered {status}"),
        }
    }

    /// Writes an object if its version is still `obj.metadata.resource_version`; empty creates it.
    ///
    /// # Errors
    /// When the platform refuses the object.
    pub async fn put(&self, obj: &AnyObject) -> Result<Write> {
        let url = format!("{}/objects/{}/{}", self.base, obj.kind, obj.metadata.name);
        let body = serde_json::to_value(obj)?;
        let Ok((status, value)) = self.client.json(Method::PUT, &url, Some(&body), CALL_TIMEOUT).await else {
            return Ok(Write::Unknown);
        };
        match status {
            200 | 201 => {
                Ok(Write::Done(serde_json::from_value(value).context("could not parse the object")?))
            }
            409 => Ok(Write::Conflict(serde_json::from_value(value).unwrap_or_default())),
            500.. => Ok(Write::Unknown),
            _ => anyhow::bail!("the platform refused the object: {value}"),
        }
    }

    /// Watches all changes after `version`.
    ///
    /// # Errors
    /// When no watch could be opened, or the version is too old to watch from.
    pub async fn watch(&self, version: Version) -> Result<Watch> {
        let req =
            Request::get(format!("{}/watch?from={version}", self.base)).body(Full::new(Bytes::new()))?;
        let res = self.client.send(req).await.map_err(|e| anyhow::anyhow!("could not watch: {e:?}"))?;
        anyhow::ensure!(res.status() == 200, "the platform answered {}", res.status());
        Ok(Watch { body: res.into_body(), buf: BytesMut::new() })
    }
}

/// An open watch.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buf: BytesMut,
}

impl Watch {
    /// Next change; `None` when the watch has ended.
    ///
    /// # Errors
    /// When a line can't be parsed.
    pub async fn next(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(at) = self.buf.iter().position(|&b| b == b'\n') {
                let line = self.buf.split_to(at + 1);
                return Ok(Some(serde_json::from_slice(&line).context("could not parse an event")?));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
                _ => return Ok(None),
            }
        }
    }
}
