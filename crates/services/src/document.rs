//! The configuration as a JSON document.

use serde_json::Value;

use crate::{InvalidField, SharedConfig};

/// Parses text, which `path` names in the fault.
pub(crate) fn parse(path: &str, text: &str) -> Result<Value, InvalidField> {
    serde_json::from_str(text).map_err(|e| InvalidField::new(path, format!("is not JSON: {e}")))
}

pub(crate) fn encode(config: &SharedConfig) -> Value {
    serde_json::to_value(config).expect("a configuration has string keys and finite numbers")
}

pub(crate) fn decode(document: &Value) -> Result<SharedConfig, InvalidField> {
    let config = serde_path_to_error::deserialize(document)
        .map_err(|e| InvalidField::new(e.path().to_string(), e.inner().to_string()))?;
    match type_fault("", document, &encode(&config)) {
        Some(fault) => Err(fault),
        None => Ok(config),
    }
}

/// Finds a value of another JSON type than the configuration writes there: `serde` takes
/// an array for a struct, so that `[]` would stand for an empty configuration.
fn type_fault(path: &str, document: &Value, encoded: &Value) -> Option<InvalidField> {
    match (document, encoded) {
        (Value::Object(document), Value::Object(encoded)) => {
            document.iter().find_map(|(key, value)| {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                type_fault(&path, value, encoded.get(key)?)
            })
        }
        (Value::Array(_), Value::Array(_)) => None,
        (Value::Object(_) | Value::Array(_), _) | (_, Value::Object(_) | Value::Array(_)) => {
            let path = if path.is_empty() { "." } else { path };
            Some(InvalidField::new(path, "has the wrong JSON type"))
        }
        _ => None,
    }
}
