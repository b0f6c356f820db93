//! `brasspond get`, `apply` and `watch`: clients of the resource API.

use crate::exit::Outcome;
use crate::options::{ApplyOptions, ClientOptions, GetOptions, OutputFormat, WatchOptions};
use crate::runtime::single_threaded;
use brasspond_http::{Client, read_json, request};
use brasspond_resource::{API_VERSION, Kind, Object, object_to_json, parse_manifests};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Method, StatusCode};
use serde_json::Value;
use std::time::Duration;

/// Maximum accepted size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time limit of a call. It is longer than a node waits for changes before it answers a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Why a command failed.
enum CommandError {
    /// The command line, a file or the request is invalid.
    Usage(Vec<String>),
    /// The call failed.
    Failed(String),
}

impl CommandError {
    /// Prints the error to standard error and returns the program's outcome.
    fn report(self) -> Outcome {
        match self {
            Self::Usage(lines) => {
                for line in lines {
                    eprintln!("{line}");
                }
                Outcome::Usage
            }
            Self::Failed(line) => {
                eprintln!("{line}");
                Outcome::Failed
            }
        }
    }
}

/// Client of one node, with the caller's token.
struct Session<'a> {
    options: &'a ClientOptions,
    client: Client,
    authorization: HeaderValue,
}

/// Reads the token file and runs `work` with a session. Prints the error if that fails.
fn with_session<'a, F>(options: &'a ClientOptions, work: impl FnOnce(Session<'a>) -> F) -> Outcome
where
    F: Future<Output = Result<(), CommandError>>,
{
    let token = match std::fs::read_to_string(&options.token_file) {
        Ok(token) => token,
        Err(error) => {
            eprintln!("{}: {error}", options.token_file.display());
            return Outcome::Usage;
        }
    };
    let Ok(authorization) = HeaderValue::from_str(&format!("Bearer {}", token.trim())) else {
        eprintln!("{}: not a token", options.token_file.display());
        return Outcome::Usage;
    };
    let runtime = match single_threaded() {
        Ok(runtime) => runtime,
        Err(outcome) => return outcome,
    };
    let result = runtime.block_on(async {
        let client = Client::default();
        work(Session {
            options,
            client,
            authorization,
        })
        .await
    });
    match result {
        Ok(()) => Outcome::Success,
        Err(error) => error.report(),
    }
}

impl Session<'_> {
    /// Makes a call. A response with an unsuccessful status is an error.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CommandError> {
        let path = format!("/apis/{API_VERSION}/{path}");
        let mut request = request(method, self.options.server, &path, body);
        request
            .headers_mut()
            .insert(AUTHORIZATION, self.authorization.clone());
        let exchange = async {
            let response = self.client.send(request).await;
            let response = response.map_err(|error| CommandError::Failed(error.to_string()))?;
            let status = response.status();
            let body: Result<Value, _> = read_json(response.into_body(), MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|error| CommandError::Failed(error.to_string()))?;
            Ok((status, body))
        };
        let response = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        let (status, body) = response
            .map_err(|_| CommandError::Failed("the node did not respond in time".to_owned()))??;
        if status.is_success() {
            Ok(body)
        } else {
            Err(response_error(status, &body))
        }
    }

    /// Prints a response in the requested format. Serializing a JSON value cannot fail.
    fn show(&self, value: &Value) {
        match self.options.output {
            OutputFormat::Json => println!(
                "{}",
                serde_json::to_string_pretty(value).unwrap_or_default()
            ),
            OutputFormat::Yaml => print!("{}", serde_norway::to_string(value).unwrap_or_default()),
            OutputFormat::Table => {
                let items = value["items"].as_array().cloned();
                for item in items.unwrap_or_else(|| vec![value.clone()]) {
                    println!("{}", format_row(&item));
                }
            }
        }
    }
}

/// Converts a node's error response. Client errors except conflicts count as wrong usage.
fn response_error(status: StatusCode, body: &Value) -> CommandError {
    let error = &body["error"];
    let message = error["message"].as_str().unwrap_or("refused").to_owned();
    let mut lines = vec![format!(
        "{status}: {message} (run: {})",
        error["run"].as_str().unwrap_or("?")
    )];
    let findings = error["findings"].as_array().into_iter().flatten();
    lines.extend(findings.filter_map(Value::as_str).map(str::to_owned));
    if status.is_client_error() && status != StatusCode::CONFLICT {
        return CommandError::Usage(lines);
    }
    CommandError::Failed(lines.join("\n"))
}

/// Formats a resource as a table row: kind, name, version, conditions and share.
fn format_row(item: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
    let conditions = item["status"]["conditions"]
        .as_array()
        .into_iter()
        .flatten();
    let conditions: Vec<String> = conditions
        .map(|condition| {
            format!(
                "{}={}",
                text(&condition["type"]),
                text(&condition["status"])
            )
        })
        .collect();
    let mut columns = vec![
        format!("{:<16}", text(&item["kind"])),
        format!("{:<24}", text(&item["metadata"]["name"])),
        format!("{:>8}", text(&item["metadata"]["resourceVersion"])),
        conditions.join(" "),
    ];
    if let Some(received) = item["status"]["share"]["received"].as_f64() {
        let declared = item["status"]["share"]["declared"].as_f64().unwrap_or(0.0);
        columns.push(format!("share {received:.3} of {declared:.3}"));
    }
    columns.join("  ").trim_end().to_owned()
}

/// Finds a kind of resource by name.
fn find_kind(word: &str) -> Result<Kind, CommandError> {
    let names: Vec<&str> = Kind::ALL.iter().map(|kind| kind.plural()).collect();
    let message = format!("no kind {word}; allowed: {}", names.join(", "));
    Kind::find(word).ok_or_else(|| CommandError::Usage(vec![message]))
}

/// Shows resources.
pub(crate) fn get(options: &GetOptions) -> Outcome {
    with_session(&options.client_options, |session| async move {
        let kind = find_kind(&options.kind)?;
        let path = match &options.name {
            Some(name) => format!("{}/{name}", kind.plural()),
            None => kind.plural().to_owned(),
        };
        session.show(&session.call(Method::GET, &path, None).await?);
        Ok(())
    })
}

/// Writes resources.
pub(crate) fn apply(options: &ApplyOptions) -> Outcome {
    let mut objects = Vec::new();
    let mut findings = Vec::new();
    for file in &options.files {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Err(error) => findings.push(format!("{name}: {error}")),
            Ok(text) => match parse_manifests(&name, &text) {
                Ok(found) => objects.extend(found),
                Err(found) => findings.extend(found.iter().map(ToString::to_string)),
            },
        }
    }
    if !findings.is_empty() {
        return CommandError::Usage(findings).report();
    }
    with_session(&options.client_options, |session| async move {
        for object in &objects {
            apply_one(&session, object, options.dry_run).await?;
        }
        Ok(())
    })
}

/// Writes one resource. For a manifest without a version, reads the current version and replaces
/// exactly that one, so that a concurrent write causes a conflict instead of being overwritten.
async fn apply_one(
    session: &Session<'_>,
    object: &Object,
    dry_run: bool,
) -> Result<(), CommandError> {
    let key = object.key();
    let mut body = object_to_json(object);
    let has_version = object.metadata.resource_version.0 > 0;
    if !has_version {
        let current = session.call(Method::GET, &key.to_string(), None).await;
        body["metadata"]["resourceVersion"] = match current {
            Ok(current) => current["metadata"]["resourceVersion"].clone(),
            Err(CommandError::Usage(_)) => Value::String("0".to_owned()),
            Err(error) => return Err(error),
        };
    }
    let query = if dry_run { "?dryRun=All" } else { "" };
    let response = session
        .call(Method::PUT, &format!("{key}{query}"), Some(&body))
        .await?;
    let revision = response["resourceVersion"].as_str().unwrap_or("-");
    let verb = if dry_run { "valid" } else { "accepted" };
    println!("{key} {verb} resourceVersion={revision}");
    Ok(())
}

/// Shows resources as they change, until the requested number of changes has been shown.
pub(crate) fn watch(options: &WatchOptions) -> Outcome {
    with_session(&options.client_options, |session| async move {
        let kind = find_kind(&options.kind)?;
        let mut from = "0".to_owned();
        let mut remaining = options.changes.unwrap_or(u64::MAX);
        while remaining > 0 {
            let path = format!("{}?watch=true&resourceVersion={from}", kind.plural());
            let response = session.call(Method::GET, &path, None).await?;
            for item in response["items"].as_array().into_iter().flatten() {
                session.show(item);
                remaining = remaining.saturating_sub(1);
            }
            from = response["metadata"]["resourceVersion"]
                .as_str()
                .unwrap_or(&from)
                .to_owned();
        }
        Ok(())
    })
}
