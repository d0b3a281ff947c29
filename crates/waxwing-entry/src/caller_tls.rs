//! TLS towards callers.

use std::{path, sync::Arc};

use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _};

use crate::{errors, options};

/// Loads the certificate and key for callers.
///
/// # Errors
/// Fails if a file can't be read or its contents can't be used.
pub(crate) fn load(
    tls: &options::CallerTls,
) -> Result<tokio_rustls::TlsAcceptor, errors::EntryError> {
    let chain = CertificateDer::pem_file_iter(&tls.certificate_file)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| unusable(&tls.certificate_file, &error))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key_file)
        .map_err(|error| unusable(&tls.key_file, &error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|error| unusable(&tls.certificate_file, &error))?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(tokio_rustls::TlsAcceptor::from(Arc::new(config)))
}

fn unusable(file: &path::Path, error: &dyn std::error::Error) -> errors::EntryError {
    errors::EntryError::Certificate {
        file: file.display().to_string(),
        detail: error.to_string(),
    }
}
