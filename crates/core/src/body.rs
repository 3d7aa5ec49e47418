//! Bodies of requests and responses.

use std::sync;

use base64::Engine;
use base64::engine::general_purpose;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::errors;

/// The body of a request or a response.
///
/// Clones share one allocation. JSON holds the bytes as base64.
#[derive(Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{} bytes", _0.len())]
#[serde(try_from = "String", into = "String")]
pub struct Body(sync::Arc<[u8]>);

impl Body {
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Default for Body {
    fn default() -> Self {
        Self(sync::Arc::from([]))
    }
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Body({self})")
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl From<&str> for Body {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().into())
    }
}

impl From<Body> for String {
    fn from(body: Body) -> Self {
        general_purpose::STANDARD.encode(body.as_bytes())
    }
}

impl TryFrom<String> for Body {
    type Error = errors::Error;

    fn try_from(text: String) -> errors::Result<Self> {
        let bytes =
            general_purpose::STANDARD.decode(text).map_err(|_| errors::Error::InvalidBase64)?;
        Ok(Self::from(bytes))
    }
}
