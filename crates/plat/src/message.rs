//! JSON bodies of the log's HTTP interface. Record contents are encoded in base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use wire::Offset;

use crate::{Batch, Record};

/// Body of `POST /streams/{name}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// Contents of the records in base64, in the order in which they are appended.
    pub records: Vec<String>,
}

/// Response to `POST /streams/{name}`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first: u64,
}

/// Response to `GET /streams/{name}?from=N&wait_ms=M`. With status 410, for an expired offset, the
/// page has no records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset of the stream that is still retained.
    pub oldest: u64,
    /// Offset that the next record appended to the stream will get.
    pub end: u64,
    /// Records from the requested offset on, in ascending order.
    pub records: Vec<PageRecord>,
}

/// A record of a [`Page`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageRecord {
    /// Position of the record in the stream.
    pub offset: u64,
    /// Content of the record in base64.
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
            restores: None,
            records: raw
                .records
                .iter()
                .map(record)
                .collect::<Result<_, Self::Error>>()?,
        })
    }
}
