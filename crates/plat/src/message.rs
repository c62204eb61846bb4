//! JSON bodies of the log's HTTP interface. Record contents are base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use wire::Offset;

use crate::{Batch, Record};

/// Body of `POST /streams/{name}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// Contents of the records.
    pub records: Vec<String>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record.
    pub first: u64,
}

/// Answer to `GET /streams/{name}?from=N&wait_ms=M`. Status 410 carries a page without records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset kept.
    pub oldest: u64,
    /// Offset of the next append.
    pub end: u64,
    /// Records from the requested offset on.
    pub records: Vec<PageRecord>,
}

/// One record of a [`Page`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageRecord {
    /// Position in the stream.
    pub offset: u64,
    /// Content in base64.
    pub data: String,
}

impl From<Vec<Vec<u8>>> for Append {
    fn from(records: Vec<Vec<u8>>) -> Append {
        Append {
            records: records.iter().map(|r| STANDARD.encode(r)).collect(),
        }
    }
}

impl TryFrom<Append> for Vec<Vec<u8>> {
    type Error = base64::DecodeError;

    fn try_from(raw: Append) -> Result<Self, Self::Error> {
        raw.records.iter().map(|r| STANDARD.decode(r)).collect()
    }
}

impl From<&Batch> for Page {
    fn from(batch: &Batch) -> Page {
        let record = |r: &Record| PageRecord {
            offset: r.offset.0,
            data: STANDARD.encode(&r.data),
        };
        Page {
            oldest: batch.oldest.0,
            end: batch.end.0,
            records: batch.records.iter().map(record).collect(),
        }
    }
}

impl TryFrom<Page> for Batch {
    type Error = base64::DecodeError;

    fn try_from(raw: Page) -> Result<Self, Self::Error> {
        let record = |r: &PageRecord| {
            Ok(Record {
                offset: Offset(r.offset),
                data: STANDARD.decode(&r.data)?,
            })
        };
        Ok(Batch {
            oldest: Offset(raw.oldest),
            end: Offset(raw.end),
            records: raw
                .records
                .iter()
                .map(record)
                .collect::<Result<_, Self::Error>>()?,
        })
    }
}
