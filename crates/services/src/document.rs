//! Conversion of the configuration to and from JSON.

use serde_json::Value;

use crate::{InvalidField, SharedConfig};

/// Parses JSON text; `path` is the path in the error.
pub(crate) fn parse(path: &str, text: &str) -> Result<Value, InvalidField> {
    serde_json::from_str(text).map_err(|e| InvalidField::new(path, format!("is not JSON: {e}")))
}

pub(crate) fn encode(config: &SharedConfig) -> Value {
    serde_json::to_value(config).expect("a configuration has string keys and finite numbers")
}

pub(crate) fn decode(document: &Value) -> Result<SharedConfig, InvalidField> {
    let config = serde_path_to_error::deserialize(document)
        .map_err(|e| InvalidField::new(e.path().to_string(), e.inner().to_string()))?;
    match find_type_mismatch("", document, &encode(&config)) {
        Some(error) => Err(error),
        None => Ok(config),
    }
}

/// Finds a value whose JSON type differs from that of the encoded configuration.  `serde`
/// accepts an array for a struct, so without this check `[]` would be an empty
/// configuration.
fn find_type_mismatch(path: &str, document: &Value, encoded: &Value) -> Option<InvalidField> {
    match (document, encoded) {
        (Value::Object(document), Value::Object(encoded)) => {
            document.iter().find_map(|(key, value)| {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                find_type_mismatch(&path, value, encoded.get(key)?)
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
