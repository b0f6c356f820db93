//! Encoding and decoding of a table job by job, so that only the texts of one job are in memory at a
//! time.
//!
//! The encoding is that of [`JobTable::encode`] for a table that contains all its texts.

use crate::job::Job;
use crate::table::JobTable;
use brasspond_metering::UsageLedger;
use brasspond_quarantine::QuarantineLedger;
use bytes::Bytes;
use serde::Serialize;
use serde::de::{self, DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde::ser::{self, SerializeMap, Serializer};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::io::{self, Read, Write};

/// Number of fields of [`JobTable`].
const TABLE_FIELDS: usize = 4;

impl JobTable {
    /// Writes the encoding of the table with all its texts. `read_texts` returns the first bytes of
    /// the text file with the given number, as many as the second argument says.
    ///
    /// # Errors
    /// The writer or `read_texts` fails, or the table cannot be encoded.
    pub fn write_to(
        &self,
        writer: &mut impl Write,
        read_texts: impl Fn(u64, usize) -> io::Result<Bytes>,
    ) -> io::Result<()> {
        let table = TableWithTexts {
            jobs: JobsWithTexts {
                jobs: &self.jobs,
                read_texts: &read_texts,
            },
            view_copy: &self.view_copy,
            usage: &self.usage,
            quarantine: &self.quarantine,
        };
        rmp_serde::encode::write(writer, &table).map_err(|error| to_io_error(&error))
    }

    /// Size in bytes of the encoding of the table with all its texts. Reads no text file.
    ///
    /// # Errors
    /// The table cannot be encoded.
    pub fn encoded_bytes(&self) -> io::Result<u64> {
        let mut counter = Counter(0);
        self.write_to(&mut counter, |_, length| Ok(vec![0; length].into()))?;
        Ok(counter.0)
    }

    /// Decodes a table. `on_job` is called with the id of each job before the next job is decoded,
    /// and may move the job's texts to a file ([`Job::move_to_file`]).
    ///
    /// # Errors
    /// The reader fails, or its content is not a table.
    pub fn read_from(reader: impl Read, on_job: impl FnMut(&str, &mut Job)) -> io::Result<Self> {
        let mut decoder = rmp_serde::Deserializer::new(reader);
        let table = TableSeed(on_job).deserialize(&mut decoder);
        table.map_err(|error| to_io_error(&error))
    }
}

/// Counts the bytes written to it.
struct Counter(u64);

impl Write for Counter {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.0 += buffer.len() as u64;
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Converts an error of the codec, with the message of its cause.
fn to_io_error(error: &(dyn Error + 'static)) -> io::Error {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    match cause.downcast_ref::<io::Error>() {
        Some(cause) => io::Error::new(cause.kind(), cause.to_string()),
        None => io::Error::new(io::ErrorKind::InvalidData, cause.to_string()),
    }
}

/// The fields of [`JobTable`] in the same order, with jobs that contain all their texts.
#[derive(Serialize)]
#[serde(rename = "JobTable", bound = "")]
struct TableWithTexts<'a, F: Fn(u64, usize) -> io::Result<Bytes>> {
    jobs: JobsWithTexts<'a, F>,
    view_copy: &'a Option<(u64, Bytes)>,
    usage: &'a UsageLedger,
    quarantine: &'a QuarantineLedger,
}

struct JobsWithTexts<'a, F> {
    jobs: &'a BTreeMap<String, Job>,
    read_texts: &'a F,
}

impl<F: Fn(u64, usize) -> io::Result<Bytes>> Serialize for JobsWithTexts<'_, F> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.jobs.len()))?;
        for (id, job) in self.jobs {
            match job
                .with_texts(self.read_texts)
                .map_err(ser::Error::custom)?
            {
                Some(full) => map.serialize_entry(id, &full)?,
                None => map.serialize_entry(id, job)?,
            }
        }
        map.end()
    }
}

/// Decodes a table and calls the function for each job.
struct TableSeed<F>(F);

impl<'de, F: FnMut(&str, &mut Job)> DeserializeSeed<'de> for TableSeed<F> {
    type Value = JobTable;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<JobTable, D::Error> {
        deserializer.deserialize_tuple(TABLE_FIELDS, self)
    }
}

impl<'de, F: FnMut(&str, &mut Job)> Visitor<'de> for TableSeed<F> {
    type Value = JobTable;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a table of jobs")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<JobTable, A::Error> {
        let jobs = fields.next_element_seed(JobsSeed(self.0))?;
        let view_copy = fields.next_element()?;
        Ok(JobTable {
            jobs: jobs.ok_or_else(|| de::Error::missing_field("jobs"))?,
            view_copy: view_copy.ok_or_else(|| de::Error::missing_field("view_copy"))?,
            usage: fields.next_element()?.unwrap_or_default(),
            quarantine: fields.next_element()?.unwrap_or_default(),
        })
    }
}

/// Decodes jobs and calls the function for each.
struct JobsSeed<F>(F);

impl<'de, F: FnMut(&str, &mut Job)> DeserializeSeed<'de> for JobsSeed<F> {
    type Value = BTreeMap<String, Job>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de, F: FnMut(&str, &mut Job)> Visitor<'de> for JobsSeed<F> {
    type Value = BTreeMap<String, Job>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("jobs by their ids")
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut entries: A) -> Result<Self::Value, A::Error> {
        let mut jobs = BTreeMap::new();
        while let Some((id, mut job)) = entries.next_entry::<String, Job>()? {
            (self.0)(&id, &mut job);
            jobs.insert(id, job);
        }
        Ok(jobs)
    }
}
