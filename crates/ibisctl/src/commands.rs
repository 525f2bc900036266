//! The commands. Each returns the text to print.

use std::fmt::Write;

use config::Document;
use kv::{Client, keys};

use crate::error::Error;

/// Validates a document without contacting the platform's service.
pub fn check(file: &str) -> Result<String, Error> {
    let (_, document) = read_document(file)?;
    Ok(format!(
        "{file}: valid document of service {} with {} upstreams\n",
        document.service,
        document.upstreams.len()
    ))
}

/// Validates a document and stores it, unless another operator changes it at the same time.
pub async fn put(client: &Client, file: &str) -> Result<String, Error> {
    let (text, document) = read_document(file)?;
    let key = keys::service(&document.service);
    let snapshot = client.snapshot(&key).await?;
    let read_revision = snapshot.values.iter().find(|kv| kv.key == key).map_or(0, |kv| kv.revision);
    let written = client.put_if_unchanged(&key, read_revision, text.into_bytes()).await?;
    let revision = written.ok_or_else(|| Error::Conflict(document.service.clone()))?;
    Ok(format!("{}: accepted as revision {revision}\n", document.service))
}

/// Returns the stored document of a service.
pub async fn get(client: &Client, service: &str) -> Result<String, Error> {
    let key = keys::service(service);
    let snapshot = client.snapshot(&key).await?;
    let stored = snapshot.values.into_iter().find(|kv| kv.key == key);
    let stored = stored.ok_or_else(|| Error::NoService(service.to_owned()))?;
    Ok(String::from_utf8_lossy(&stored.value).into_owned())
}

/// Lists all services with the revisions of their documents.
pub async fn list(client: &Client) -> Result<String, Error> {
    let snapshot = client.snapshot(keys::SERVICES).await?;
    let mut text = String::new();
    for kv in &snapshot.values {
        let service = kv.key.strip_prefix(keys::SERVICES).unwrap_or(&kv.key);
        let _ = writeln!(text, "{service}  revision {}", kv.revision);
    }
    Ok(text)
}

fn read_document(file: &str) -> Result<(String, Document), Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| Error::File { file: file.to_owned(), source })?;
    let document = Document::parse(&text)
        .map_err(|problems| Error::Invalid { file: file.to_owned(), problems })?;
    Ok((text, document))
}
