//! Authentication of links: mutual TLS 1.3 with certificates of the fleet's own certificate
//! authority, or no protection on a trusted loopback.
//!
//! Each certificate contains two DNS names: [`FLEET_NAME`], which the connecting side verifies
//! during the TLS handshake, and the name of the process (see [`process_name`]), which must match
//! the `Hello` on the link. A stolen agent key therefore can't be used to act as a control host.
//! See `docs/decisions/links.md`.

use std::{path, sync::Arc};

use arc_swap::ArcSwap;
use rustls::pki_types::{self, pem::PemObject as _};
use serde::{Deserialize, Serialize};

use crate::{errors, messages};

/// The DNS name that the certificate of every process of a fleet contains.
pub const FLEET_NAME: &str = "processes.waxwingmill.internal";

/// The PEM files for the TLS links of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// The certificate chain of the process.
    pub certificate: path::PathBuf,
    /// The private key of the process.
    pub key: path::PathBuf,
    /// The trusted certificate authorities; two while an authority is being replaced.
    pub authorities: path::PathBuf,
}

/// The authentication and encryption of the links of a process.
#[derive(Debug, Clone, Default)]
pub enum LinkSecurity {
    /// No authentication and no encryption; for loopback and tests only.
    #[default]
    Plain,
    /// Mutual TLS 1.3: both sides present a certificate of the fleet's authority.
    Mutual(Arc<ArcSwap<TlsContext>>),
}

impl LinkSecurity {
    /// Loads the keys from `files`; without files, links are plain.
    ///
    /// # Errors
    /// Fails if a file can't be read or holds no usable key or certificate.
    pub fn from_files(files: Option<&TlsFiles>) -> Result<Self, errors::SecurityError> {
        files.map_or(Ok(Self::Plain), |files| {
            let context = TlsContext::load(files)?;
            Ok(Self::Mutual(Arc::new(ArcSwap::from_pointee(context))))
        })
    }

    /// Reloads the files for links that are opened from now on, so that keys can be rotated without
    /// a restart. On failure the current keys stay in use.
    ///
    /// # Errors
    /// Fails if a file can't be read or holds no usable key or certificate.
    pub fn reload(&self, files: &TlsFiles) -> Result<(), errors::SecurityError> {
        if let Self::Mutual(context) = self {
            context.store(Arc::new(TlsContext::load(files)?));
        }
        Ok(())
    }
}

/// The TLS configuration for both directions. It is replaced as a whole when keys are rotated; open
/// links keep the keys with which they were opened.
#[derive(Debug)]
pub struct TlsContext {
    /// Configuration for links that this process opens.
    pub client: Arc<rustls::ClientConfig>,
    /// Configuration for links that this process accepts.
    pub server: Arc<rustls::ServerConfig>,
}

impl TlsContext {
    /// Reads the files and builds the configuration for both directions.
    ///
    /// # Errors
    /// Fails if a file can't be read or holds no usable key or certificate.
    pub fn load(files: &TlsFiles) -> Result<Self, errors::SecurityError> {
        let chain = read_certificates(&files.certificate)?;
        let key = read_key(&files.key)?;
        let mut roots = rustls::RootCertStore::empty();
        for authority in read_certificates(&files.authorities)? {
            roots.add(authority)?;
        }
        Self::build(chain, key, Arc::new(roots))
    }

    fn build(
        chain: Vec<pki_types::CertificateDer<'static>>,
        key: pki_types::PrivateKeyDer<'static>,
        roots: Arc<rustls::RootCertStore>,
    ) -> Result<Self, errors::SecurityError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
            roots.clone(),
            provider.clone(),
        )
        .build()
        .map_err(|error| rustls::Error::General(error.to_string()))?;
        let server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())?;
        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)?;
        Ok(Self {
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}

/// Returns the DNS name that the certificate of a process must contain, besides [`FLEET_NAME`].
#[must_use]
pub fn process_name(kind: messages::ProcessKind, name: &str) -> String {
    let kind = match kind {
        messages::ProcessKind::Entry => "entry",
        messages::ProcessKind::Agent => "agent",
        messages::ProcessKind::Control => "control",
        messages::ProcessKind::Tool | messages::ProcessKind::Unspecified => "tool",
    };
    format!("{name}.{kind}.waxwingmill.internal")
}

/// Verifies that the peer's certificate is valid for the kind and name in its `Hello`.
///
/// # Errors
/// Fails if there is no certificate, or if it is not valid for that name.
pub fn verify_process_name(
    certificates: Option<&[pki_types::CertificateDer<'_>]>,
    hello: &messages::Hello,
) -> Result<(), errors::SecurityError> {
    let name = process_name(hello.kind(), &hello.name);
    let mismatch = || errors::SecurityError::Identity {
        claimed: name.clone(),
    };
    let certificate = certificates.and_then(<[_]>::first).ok_or_else(mismatch)?;
    let end_entity = webpki::EndEntityCert::try_from(certificate).map_err(|_| mismatch())?;
    let subject = pki_types::ServerName::try_from(name.as_str()).map_err(|_| mismatch())?;
    end_entity
        .verify_is_valid_for_subject_name(&subject)
        .map_err(|_| mismatch())
}

fn file_error(
    path: &path::Path,
    error: pki_types::pem::Error,
    expected: &'static str,
) -> errors::SecurityError {
    let path = path.display().to_string();
    match error {
        pki_types::pem::Error::Io(error) => errors::SecurityError::File { path, error },
        _ => errors::SecurityError::Content { path, expected },
    }
}

fn read_certificates(
    path: &path::Path,
) -> Result<Vec<pki_types::CertificateDer<'static>>, errors::SecurityError> {
    let expected = "PEM certificate";
    let certificates: Vec<_> = pki_types::CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| file_error(path, error, expected))?;
    if certificates.is_empty() {
        let path = path.display().to_string();
        return Err(errors::SecurityError::Content { path, expected });
    }
    Ok(certificates)
}

fn read_key(path: &path::Path) -> Result<pki_types::PrivateKeyDer<'static>, errors::SecurityError> {
    pki_types::PrivateKeyDer::from_pem_file(path)
        .map_err(|error| file_error(path, error, "PEM private key"))
}

/// The certificate authority that signs the certificates of a fleet's processes. Its key should be
/// kept on an operator's machine and on no host of the fleet.
pub struct CertificateAuthority {
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
    certificate_pem: String,
}

/// A certificate and its private key, both in PEM format.
pub struct KeyMaterial {
    /// The certificate.
    pub certificate_pem: String,
    /// The private key.
    pub key_pem: String,
}

impl CertificateAuthority {
    /// Creates an authority and returns it with its certificate and key, for
    /// [`from_material`](Self::from_material).
    ///
    /// # Errors
    /// Fails if the random source or the library fails.
    pub fn create() -> Result<(Self, KeyMaterial), errors::SecurityError> {
        let mut params = rcgen::CertificateParams::default();
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
        params
            .distinguished_name
            .push(rcgen::DnType::CommonName, "waxwingmill fleet authority");
        let key = rcgen::KeyPair::generate()?;
        let certificate_pem = params.self_signed(&key)?.pem();
        let key_pem = key.serialize_pem();
        let issuer = rcgen::Issuer::new(params, key);
        let material = KeyMaterial {
            certificate_pem: certificate_pem.clone(),
            key_pem,
        };
        Ok((
            Self {
                issuer,
                certificate_pem,
            },
            material,
        ))
    }

    /// Loads an authority from the certificate and key that [`create`](Self::create) returned.
    ///
    /// # Errors
    /// Fails if the texts are not the certificate and key of an authority.
    pub fn from_material(material: &KeyMaterial) -> Result<Self, errors::SecurityError> {
        let key = rcgen::KeyPair::from_pem(&material.key_pem)?;
        let certificate_pem = material.certificate_pem.clone();
        let issuer = rcgen::Issuer::from_ca_cert_pem(&certificate_pem, key)?;
        Ok(Self {
            issuer,
            certificate_pem,
        })
    }

    /// Returns the authority's certificate in PEM format, as needed in [`TlsFiles::authorities`].
    #[must_use]
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Generates a key for one process and signs its certificate.
    ///
    /// # Errors
    /// Fails if the name is not allowed in a certificate or the library fails.
    pub fn issue(
        &self,
        kind: messages::ProcessKind,
        name: &str,
    ) -> Result<KeyMaterial, errors::SecurityError> {
        let names = vec![FLEET_NAME.to_owned(), process_name(kind, name)];
        let mut params = rcgen::CertificateParams::new(names)?;
        params
            .distinguished_name
            .push(rcgen::DnType::CommonName, name);
        let key = rcgen::KeyPair::generate()?;
        let certificate_pem = params.signed_by(&key, &self.issuer)?.pem();
        Ok(KeyMaterial {
            certificate_pem,
            key_pem: key.serialize_pem(),
        })
    }
}
