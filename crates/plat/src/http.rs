//! The log over HTTP.

use std::time::Duration;

use reqwest::{Response, StatusCode, Url};
use snafu::ResultExt;
use wire::Offset;

use crate::message::{Append, Appended, Page};
use crate::{Batch, BoxFuture, Log, LogError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// An append that takes longer counts as unanswered.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first keep-alive probe and between probes; the kernel takes whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Lost probes after which a connection is dead.
const PROBES: u32 = 1;
/// Time after which bytes or probes that nobody acknowledges end a connection. With the first probe
/// a dead one is found within 2 to 2.5 s.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Added to the wait of a long poll.
pub const READ_MARGIN: Duration = Duration::from_secs(2);

/// Client of a log that offers `POST /streams/{name}` and `GET /streams/{name}`.
#[derive(Clone, Debug)]
pub struct HttpLog {
    base: Url,
    client: reqwest::Client,
}

/// The HTTP client could not be set up.
#[derive(Debug, snafu::Snafu)]
pub enum ClientError {
    /// The HTTP library failed.
    #[snafu(display("cannot set up the log's HTTP client: {source}"))]
    Client {
        /// Error of the library.
        source: reqwest::Error,
    },
    /// The log's URL can't be used.
    #[snafu(display("{url:?} is not the HTTP URL of a log: {reason}"))]
    Base {
        /// The URL of the settings.
        url: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl HttpLog {
    /// Makes a client of the log at `base`, for example `http://127.0.0.1:7000`.
    ///
    /// # Errors
    ///
    /// Fails when `base` isn't a URL with a path, or when the HTTP client can't be set up.
    pub fn new(base: &str) -> Result<HttpLog, ClientError> {
        let client = http_client()?;
        let base = parse_base(base)?;
        Ok(HttpLog { base, client })
    }

    /// The name is one path segment; its special characters are escaped, so that two streams can't
    /// share a URL.
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
        let res = sent(req.json(&Append::from(records)).send().await)?;
        let appended: Appended = success(res)?.json().await.map_err(no_answer)?;
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
        let req = self.client.get(url).timeout(wait + READ_MARGIN);
        let res = req.send().await.map_err(no_answer)?;
        if res.status() == StatusCode::GONE {
            let page: Page = res.json().await.map_err(no_answer)?;
            return Err(LogError::Expired {
                from,
                oldest: Offset(page.oldest),
            });
        }
        let page: Page = success(res)?.json().await.map_err(no_answer)?;
        page.try_into().map_err(no_answer)
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

/// Makes the HTTP client of a log. A connection that has gone silent is found by probes of the
/// kernel, since a long poll gives no other sign of it.
///
/// # Errors
///
/// Fails when the HTTP library can't be set up.
pub fn http_client() -> Result<reqwest::Client, ClientError> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(PROBE_INTERVAL)
        .tcp_keepalive_interval(PROBE_INTERVAL)
        .tcp_keepalive_retries(PROBES)
        .tcp_user_timeout(USER_TIMEOUT)
        .no_proxy()
        .build()
        .context(ClientSnafu)
}

/// Classifies the failure of an append before any answer.
///
/// # Errors
///
/// Fails when `sent` did. A failed connect is the one transport error after which nothing can be
/// written.
pub fn sent(sent: reqwest::Result<Response>) -> Result<Response, LogError> {
    sent.map_err(|e| {
        if e.is_connect() {
            LogError::Refused { status: 503 }
        } else {
            no_answer(e)
        }
    })
}

/// Reads the base URL of a log.
///
/// # Errors
///
/// Fails when `base` isn't a URL that can have a path.
pub fn parse_base(base: &str) -> Result<Url, ClientError> {
    let fail = |reason: String| ClientError::Base {
        url: base.to_owned(),
        reason,
    };
    let url = Url::parse(base).map_err(|e| fail(e.to_string()))?;
    if url.cannot_be_a_base() {
        return Err(fail("it has no path".to_owned()));
    }
    Ok(url)
}

/// Returns `res` if its status says success.
///
/// # Errors
///
/// Fails otherwise, and says whether the call may have had an effect.
pub fn success(res: Response) -> Result<Response, LogError> {
    let status = res.status();
    if status.is_success() {
        return Ok(res);
    }
    if is_clear_refusal(status) {
        return Err(LogError::Refused {
            status: status.as_u16(),
        });
    }
    Err(LogError::NoAnswer {
        reason: format!("HTTP status {status}"),
    })
}

/// Returns whether the log can't have taken an append that it answered with `status`. A log that
/// fails inside (500) or a gateway in front of it (502, 504) may answer after the write, and 408
/// says only that the answer came too late.
fn is_clear_refusal(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || (status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT)
}

/// Makes the error of a call without a usable answer.
pub fn no_answer(e: impl std::fmt::Display) -> LogError {
    LogError::NoAnswer {
        reason: e.to_string(),
    }
}
