//! Client of a log over HTTP, and the parts that other HTTP clients of a log share.

use std::time::Duration;

use memory::Charge;
use reqwest::{Response, StatusCode, Url};
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use wire::Offset;

use crate::message::{Append, Appended, Page};
use crate::{Batch, BoxFuture, Log, LogError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of an append. After it the append counts as not answered and may have taken effect.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first keep-alive probe and between probes. The kernel takes whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 1;
/// Time after which the kernel closes a connection whose bytes or probes are not acknowledged.
/// Together with the idle time before the first probe, a dead connection is closed within 2 to
/// 2.5 s.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is not reused: nothing shows whether it has fallen silent
/// meanwhile, and a call on it would be lost until its time limit.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Margin for the network and the log, added to the wait of a long poll to give its time limit.
pub const LONG_POLL_MARGIN: Duration = Duration::from_secs(2);

/// Largest answer of a log. Its newest records may have a configuration text in several versions.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of a log that offers `POST /streams/{name}` and `GET /streams/{name}`.
#[derive(Clone, Debug)]
pub struct HttpLog {
    base: Url,
    client: reqwest::Client,
}

/// The reason why the client of a log could not be set up.
#[derive(Debug, snafu::Snafu)]
pub enum ClientError {
    /// The HTTP library could not set up its client.
    #[snafu(display("cannot set up the log's HTTP client: {source}"))]
    Client {
        /// Error of the HTTP library.
        source: reqwest::Error,
    },
    /// The URL of the log is malformed or can't have a path.
    #[snafu(display("log URL {url:?} is not valid: {reason}"))]
    Base {
        /// The URL as it was given.
        url: String,
        /// Why the URL is not valid.
        reason: String,
    },
}

impl HttpLog {
    /// Creates a client of the log at `base`, for example `http://127.0.0.1:7000`.
    ///
    /// # Errors
    ///
    /// Fails when `base` isn't a URL that can have a path, or when the HTTP client can't be set up.
    pub fn new(base: &str) -> Result<HttpLog, ClientError> {
        let client = http_client()?;
        let base = parse_base(base)?;
        Ok(HttpLog { base, client })
    }

    /// Returns the URL of `stream`. The name becomes one path segment with its special characters
    /// escaped, so that two streams can't share a URL.
    fn url(&self, stream: &str) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().push("streams").push(stream);
        }
        url
    }

    async fn append_records(
        &self,
        stream: &str,
        records: Vec<Vec<u8>>,
    ) -> Result<Offset, LogError> {
        let req = self.client.post(self.url(stream)).timeout(APPEND_TIMEOUT);
        let res = append_response(req.json(&Append::from(records)).send().await)?;
        let appended: Appended = read_json(check_status(res)?).await?;
        Ok(Offset(appended.first))
    }

    async fn read_records(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, LogError> {
        let mut url = self.url(stream);
        url.set_query(Some(&format!("from={from}&wait_ms={}", wait.as_millis())));
        let req = self.client.get(url).timeout(wait + LONG_POLL_MARGIN);
        let res = req.send().await.map_err(no_response_error)?;
        if res.status() == StatusCode::GONE {
            let page: Page = read_json(res).await?;
            return Err(LogError::Expired {
                from,
                oldest: Offset(page.oldest),
            });
        }
        let page: Page = read_json(check_status(res)?).await?;
        page.try_into().map_err(no_response_error)
    }
}

impl Log for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(self.append_records(stream, records))
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch, LogError>> {
        Box::pin(self.read_records(stream, from, wait))
    }
}

/// Creates the HTTP client of a log. Keep-alive probes of the kernel detect a dead connection;
/// an idle long poll has no other traffic to detect it by.
///
/// # Errors
///
/// Fails when the HTTP library can't be set up.
pub fn http_client() -> Result<reqwest::Client, ClientError> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(KEEPALIVE_RETRIES)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .no_proxy()
        .build()
        .context(ClientSnafu)
}

async fn read_json<T: DeserializeOwned>(res: Response) -> Result<T, LogError> {
    let body = read_body(res, MAX_ANSWER_BYTES, None).await?;
    serde_json::from_slice(&body).map_err(no_response_error)
}

/// Reads the body of a response of up to `max_bytes`, and charges it to `charge` as it arrives, in place
/// of what was charged before.
///
/// # Errors
///
/// Fails when the body is longer, or when the connection breaks.
pub async fn read_body(
    res: Response,
    max_bytes: usize,
    charge: Option<&mut Charge>,
) -> Result<Vec<u8>, LogError> {
    let (mut res, mut charge) = (res, charge);
    let mut body = Vec::new();
    while let Some(part) = res.chunk().await.map_err(no_response_error)? {
        if body.len() + part.len() > max_bytes {
            return Err(no_response_error(format!(
                "the answer is longer than {max_bytes} bytes"
            )));
        }
        body.extend_from_slice(&part);
        if let Some(charge) = &mut charge {
            charge.set(body.capacity());
        }
    }
    Ok(body)
}

/// Classifies the transport error of an append that got no response.
///
/// # Errors
///
/// Fails when `result` is an error. Only a failed connect is reported as [`LogError::Refused`],
/// with status 503: after any other transport error the append may have taken effect.
pub fn append_response(result: reqwest::Result<Response>) -> Result<Response, LogError> {
    result.map_err(|e| {
        if e.is_connect() {
            LogError::Refused { status: 503 }
        } else {
            no_response_error(e)
        }
    })
}

/// Parses the base URL of a log.
///
/// # Errors
///
/// Fails when `base` isn't a URL that can have a path.
pub fn parse_base(base: &str) -> Result<Url, ClientError> {
    let base_error = |reason: String| ClientError::Base {
        url: base.to_owned(),
        reason,
    };
    let url = Url::parse(base).map_err(|e| base_error(e.to_string()))?;
    if url.cannot_be_a_base() {
        return Err(base_error("the URL cannot have a path".to_owned()));
    }
    Ok(url)
}

/// Returns `res` if its HTTP status is a success.
///
/// # Errors
///
/// Fails with [`LogError::Refused`] if the status rules out that the call had an effect, otherwise
/// with [`LogError::NoUsableResponse`].
pub fn check_status(res: Response) -> Result<Response, LogError> {
    let status = res.status();
    if status.is_success() {
        return Ok(res);
    }
    if is_definite_refusal(status) {
        return Err(LogError::Refused {
            status: status.as_u16(),
        });
    }
    Err(LogError::NoUsableResponse {
        reason: format!("HTTP status {status}"),
    })
}

/// Returns whether an append answered with `status` is certain not to have been written. After an
/// internal error of the log (500) or an error of a gateway in front of it (502, 504) the records
/// may have been written, and 408 says only that a time limit was exceeded.
fn is_definite_refusal(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || (status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT)
}

/// Converts `e` into the error of a call that got no usable response.
pub fn no_response_error(e: impl std::fmt::Display) -> LogError {
    LogError::NoUsableResponse {
        reason: e.to_string(),
    }
}
