//! Converts manifests from YAML or JSON to typed objects, and typed objects to JSON.

use crate::object::{API_VERSION, Kind, Metadata, Object, Revision};
use crate::spec::Spec;
use brasspond_findings::{Document, Field, Finding, Kind as FieldKind, check, parse_yaml};
use serde_json::{Value, json};

const METADATA_FIELDS: &[Field] = &[
    Field::required("name", FieldKind::Name),
    Field::optional("resourceVersion", FieldKind::Text),
    Field::optional("generation", FieldKind::Integer(0, i64::MAX)),
    Field::optional("writeId", FieldKind::Text),
    Field::optional("labels", FieldKind::Labels),
];

const OBJECT_FIELDS: &[Field] = &[
    Field::required("apiVersion", FieldKind::Choice(&[API_VERSION])),
    Field::required(
        "kind",
        FieldKind::Choice(&[
            "ResearchGroup",
            "Model",
            "WeightVersion",
            "EnginePool",
            "Service",
            "Caller",
            "Machine",
            "ClaimShards",
        ]),
    ),
    Field::required("metadata", FieldKind::Table(METADATA_FIELDS)),
    Field::required("spec", FieldKind::Any),
    Field::optional("status", FieldKind::Any),
];

const GROUP_LIMIT_FIELDS: &[Field] = &[
    Field::optional("openSteps", FieldKind::Integer(1, 64)),
    Field::optional("samplesPerStep", FieldKind::Integer(1, 65_536)),
    Field::optional("tokensPerSample", FieldKind::Integer(1, 1_048_576)),
];

const RESEARCH_GROUP_FIELDS: &[Field] = &[
    Field::required("share", FieldKind::Number(0.001, 1_000_000.0)),
    Field::required("models", FieldKind::List(&FieldKind::Name)),
    Field::required("maxStaleness", FieldKind::Integer(0, 1_000)),
    Field::optional("swapPolicy", FieldKind::Choice(&["mid-stream", "drain"])),
    Field::optional("limits", FieldKind::Table(GROUP_LIMIT_FIELDS)),
    Field::required("trainer", FieldKind::Name),
];

const MODEL_FIELDS: &[Field] = &[
    Field::required("group", FieldKind::Name),
    Field::optional("maxTokens", FieldKind::Integer(1, 1_048_576)),
];

const WEIGHT_VERSION_FIELDS: &[Field] = &[
    Field::required("model", FieldKind::Name),
    Field::required("version", FieldKind::Integer(0, i64::MAX)),
    Field::optional("megabytes", FieldKind::Integer(0, 10_000_000)),
];

const ENGINE_POOL_FIELDS: &[Field] = &[
    Field::optional("models", FieldKind::List(&FieldKind::Name)),
    Field::optional("queueBound", FieldKind::Integer(1, 1_000_000)),
];

const LOCALITY_FIELDS: &[Field] = &[
    Field::required("region", FieldKind::Name),
    Field::required("zone", FieldKind::Name),
];

const BACKEND_FIELDS: &[Field] = &[
    Field::required("name", FieldKind::Name),
    Field::required("address", FieldKind::Address),
    Field::required("locality", FieldKind::Table(LOCALITY_FIELDS)),
];

const METHODS: FieldKind =
    FieldKind::Choice(&["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]);

const SERVICE_FIELDS: &[Field] = &[
    Field::required("routes", FieldKind::List(&FieldKind::Text)),
    Field::required(
        "backends",
        FieldKind::List(&FieldKind::Table(BACKEND_FIELDS)),
    ),
    Field::optional("repeatableMethods", FieldKind::List(&METHODS)),
    Field::optional("timeoutMilliseconds", FieldKind::Integer(1, 3_600_000)),
    Field::optional("maxConcurrency", FieldKind::Integer(1, 100_000)),
];

const CALLER_FIELDS: &[Field] = &[
    Field::required("tokenDigest", FieldKind::Text),
    Field::required(
        "role",
        FieldKind::Choice(&["trainer", "application", "operator", "viewer"]),
    ),
    Field::optional("group", FieldKind::Name),
];

const MACHINE_FIELDS: &[Field] = &[
    Field::required("role", FieldKind::Choice(&["engine", "node", "service"])),
    Field::required("address", FieldKind::Address),
    Field::required("locality", FieldKind::Table(LOCALITY_FIELDS)),
    Field::optional("pool", FieldKind::Name),
    Field::optional("leaving", FieldKind::Boolean),
];

const CLAIM_SHARDS_FIELDS: &[Field] = &[Field::required("shards", FieldKind::Any)];

fn spec_fields(kind: Kind) -> &'static [Field] {
    match kind {
        Kind::ResearchGroup => RESEARCH_GROUP_FIELDS,
        Kind::Model => MODEL_FIELDS,
        Kind::WeightVersion => WEIGHT_VERSION_FIELDS,
        Kind::EnginePool => ENGINE_POOL_FIELDS,
        Kind::Service => SERVICE_FIELDS,
        Kind::Caller => CALLER_FIELDS,
        Kind::Machine => MACHINE_FIELDS,
        Kind::ClaimShards => CLAIM_SHARDS_FIELDS,
    }
}

/// Parses all manifests of a YAML or JSON text.
///
/// # Errors
/// Returns the findings of all documents, which state `file` as their source.
pub fn parse_manifests(file: &str, text: &str) -> Result<Vec<Object>, Vec<Finding>> {
    let mut objects = Vec::new();
    let mut findings = Vec::new();
    for document in parse_yaml(file, text)? {
        match object_from_document(&document) {
            Ok(object) => objects.push(object),
            Err(invalid) => findings.extend(invalid),
        }
    }
    if findings.is_empty() {
        Ok(objects)
    } else {
        Err(findings)
    }
}

/// Parses an object from the JSON of a request body.
///
/// # Errors
/// Returns all findings of the document.
pub fn object_from_json(value: &Value) -> Result<Object, Vec<Finding>> {
    object_from_document(&Document::without_lines("body", value.clone()))
}

fn object_from_document(document: &Document) -> Result<Object, Vec<Finding>> {
    let value = &document.value;
    let mut findings = check(document, "", value, OBJECT_FIELDS);
    let kind = value["kind"].as_str().and_then(Kind::find);
    let Some(kind) = kind else {
        return Err(findings);
    };
    findings.extend(check(document, "spec", &value["spec"], spec_fields(kind)));
    if !findings.is_empty() {
        return Err(findings);
    }
    let tagged = json!({ kind.name(): value["spec"] });
    let spec: Spec = serde_json::from_value(tagged).map_err(|error| {
        let problem = error.to_string();
        vec![document.finding("spec", problem, "see docs/OPERATIONS.md".to_owned())]
    })?;
    let metadata = &value["metadata"];
    let number = |key: &str| metadata[key].as_str().and_then(|text| text.parse().ok());
    let object = Object {
        metadata: Metadata {
            name: metadata["name"].as_str().unwrap_or_default().to_owned(),
            resource_version: Revision(number("resourceVersion").unwrap_or(0)),
            generation: metadata["generation"].as_u64().unwrap_or(0),
            write_id: number("writeId").unwrap_or(0),
        },
        spec,
    };
    check_constraints(document, &object)?;
    Ok(object)
}

/// Checks constraints that the field tables cannot express.
fn check_constraints(document: &Document, object: &Object) -> Result<(), Vec<Finding>> {
    let mut findings = Vec::new();
    let mut report = |key: &str, problem: &str, allowed: &str| {
        findings.push(document.finding(key, problem.to_owned(), allowed.to_owned()));
    };
    match &object.spec {
        Spec::Service(service) if service.routes.iter().any(|route| !route.starts_with('/')) => {
            report(
                "spec.routes",
                "a route does not begin with '/'",
                "paths such as /loans",
            );
        }
        Spec::Caller(caller) => {
            let is_digest = caller.token_digest.len() == 64
                && caller
                    .token_digest
                    .bytes()
                    .all(|byte| byte.is_ascii_hexdigit());
            if !is_digest {
                let allowed = "64 hexadecimal digits, from `brasspond digest`";
                report("spec.tokenDigest", "not a digest", allowed);
            }
        }
        _ => {}
    }
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings)
    }
}

/// Converts an object to its JSON form in the API. The result has no `status`.
pub fn object_to_json(object: &Object) -> Value {
    let kind = object.spec.kind();
    let tagged = serde_json::to_value(&object.spec).unwrap_or(Value::Null);
    json!({
        "apiVersion": API_VERSION,
        "kind": kind.name(),
        "metadata": {
            "name": object.metadata.name,
            "resourceVersion": object.metadata.resource_version.to_string(),
            "generation": object.metadata.generation,
            "writeId": object.metadata.write_id.to_string(),
        },
        "spec": tagged[kind.name()],
    })
}
