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

/// Protocol that callers speak, as negotiated by TLS.
const ALPN_PROTOCOL: &[u8] = b"h3";

/// The files with the certificate chain and its key.
pub(crate) struct TlsFiles {
    certificate: PathBuf,
    key: PathBuf,
}

impl TlsFiles {
    /// Names the files.
    pub(crate) fn new(certificate: PathBuf, key: PathBuf) -> TlsFiles {
        TlsFiles { certificate, key }
    }

    /// Reads the files.
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
        // A replayed first flight could run a request twice, so early data stays off.
        tls.max_early_data_size = 0;
        let quic = quinn::crypto::rustls::QuicServerConfig::try_from(tls);
        Ok(Arc::new(quic.context(NoInitialCipherSnafu)?))
    }

    /// Returns when the files were changed last, to notice a replacement.
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
