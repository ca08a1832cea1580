//! TLS settings from certificate files.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
    time::SystemTime,
};

use rustls_pki_types::{
    pem::PemObject,
    CertificateDer,
    PrivateKeyDer, //
};
use snafu::ResultExt;

use super::{
    agent_error::{
        BadCertificateSnafu,
        NoInitialCipherSnafu,
        UnreadablePemSnafu, //
    },
    AgentError, //
};

/// Protocol identifier of HTTP/3 for the negotiation in TLS.
const ALPN_PROTOCOL: &[u8] = b"h3";

/// The files with the certificate chain and its key.
pub(crate) struct TlsFiles {
    certificate: PathBuf,
    key: PathBuf,
}

impl TlsFiles {
    /// Creates the pair of files without reading them.
    pub(crate) fn new(certificate: PathBuf, key: PathBuf) -> TlsFiles {
        TlsFiles { certificate, key }
    }

    /// Reads the files and builds the TLS configuration.
    ///
    /// # Errors
    ///
    /// Returns an [`AgentError`] if a file can't be read or its contents can't be used.
    pub(crate) fn load(&self) -> Result<Arc<quinn::crypto::rustls::QuicServerConfig>, AgentError> {
        let chain = read_chain(&self.certificate)?;
        let path = &self.key;
        let key = PrivateKeyDer::from_pem_file(path).context(UnreadablePemSnafu { path })?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(BadCertificateSnafu)?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .context(BadCertificateSnafu)?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        // Replayed early data could run a request twice, so early data is disabled.
        tls.max_early_data_size = 0;
        let quic = quinn::crypto::rustls::QuicServerConfig::try_from(tls);
        Ok(Arc::new(quic.context(NoInitialCipherSnafu)?))
    }

    /// Returns the modification times of both files, or `None` if one can't be read.
    pub(crate) fn modified_at(&self) -> Option<(SystemTime, SystemTime)> {
        let modified = |path: &Path| path.metadata().and_then(|data| data.modified()).ok();
        Some((modified(&self.certificate)?, modified(&self.key)?))
    }
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, AgentError> {
    let found = CertificateDer::pem_file_iter(path).context(UnreadablePemSnafu { path })?;
    let chain: Result<Vec<_>, _> = found.collect();
    chain.context(UnreadablePemSnafu { path })
}
