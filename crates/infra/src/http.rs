//! Calls to a service of the platform that speaks JSON over HTTP.

use hyper::Method;
use kernel::{Code, Failure};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings};

/// The address of a service, and a client for it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    base: String,
    client: Client,
}

impl Endpoint {
    /// Creates a client; a call that takes longer than `answer` counts as failed.
    pub(crate) fn new(address: SocketAddr, answer: Duration) -> Self {
        let settings = ClientSettings { answer, ..ClientSettings::default() };
        Self { base: format!("http://{address}"), client: Client::new(settings) }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.ask(Method::GET, path, &()).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        self.ask(Method::POST, path, body).await
    }

    /// Passes on a refusal that the service names; everything else means that it is unreachable.
    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let url = format!("{}{path}", self.base);
        let answer = self.client.json(method, &url, body).await;
        answer.map_err(|failure| match failure.code {
            Code::VmRefused | Code::WeightsBusy => failure,
            _ => Failure::new(Code::PlatformUnreachable, failure.context),
        })
    }
}
