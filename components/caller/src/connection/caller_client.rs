//! The local end from which flows are opened.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use quinn::{
    crypto::rustls::QuicClientConfig,
    ConnectionError,
    TransportErrorCode, //
};
use rustls::RootCertStore;
use rustls_pki_types::{
    pem::PemObject,
    CertificateDer,
    TrustAnchor, //
};
use snafu::{
    ensure,
    ResultExt,
    Snafu, //
};

use crate::{
    connection::CallerFlow,
    request::{
        CallerError,
        HandshakeFailedSnafu,
        HandshakeTimeoutSnafu,
        RefusedSnafu, //
    },
};

/// Protocol name of HTTP/3 in the TLS handshake.
const ALPN_H3: &[u8] = b"h3";
/// Idle timeout of a flow that sets none.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);
/// Interval of keep-alive packets of a flow that sets none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Limit of the handshake of a flow that sets none.
const DEFAULT_HANDSHAKE: Duration = Duration::from_secs(5);

/// Reasons why a client can't be built.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// A root certificate can't be read.
    #[snafu(display("unreadable root certificate: {source}"))]
    BadPem {
        /// What the parser reports.
        source: rustls_pki_types::pem::Error,
    },
    /// A root certificate isn't usable as one.
    #[snafu(display("unusable root certificate: {source}"))]
    BadRoot {
        /// What the verifier reports.
        source: rustls::Error,
    },
    /// No root certificate is given.
    #[snafu(display("no root certificate; at least one is needed"))]
    NoRoot,
    /// The TLS settings can't be used.
    #[snafu(display("unusable TLS settings: {source}"))]
    BadTls {
        /// What the TLS library reports.
        source: rustls::Error,
    },
    /// The TLS settings lack a cipher suite that QUIC needs.
    #[snafu(display("unusable cipher suites: {source}"))]
    BadCipher {
        /// What the QUIC library reports.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The idle timeout is longer than QUIC can express.
    #[snafu(display("idle timeout of {idle:?} is too long"))]
    BadIdle {
        /// The timeout.
        idle: Duration,
    },
    /// The local address can't be opened.
    #[snafu(display("{address}: can't be opened: {source}"))]
    BadAddress {
        /// The local address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// Collects the settings of a [`CallerClient`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    roots: RootCertStore,
    server_name: CompactString,
    local_address: SocketAddr,
    idle_timeout: Duration,
    keep_alive: Option<Duration>,
    handshake_timeout: Duration,
}

impl ClientBuilder {
    /// Trusts the certificates of a PEM text.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::BadPem`] or [`ClientError::BadRoot`].
    pub fn root_pem(mut self, pem: impl AsRef<[u8]>) -> Result<ClientBuilder, ClientError> {
        for certificate in CertificateDer::pem_slice_iter(pem.as_ref()) {
            self = self.root_der(certificate.context(BadPemSnafu)?)?;
        }
        Ok(self)
    }

    /// Trusts a certificate in DER form.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::BadRoot`].
    pub fn root_der(
        mut self,
        certificate: CertificateDer<'_>,
    ) -> Result<ClientBuilder, ClientError> {
        let certificate = certificate.into_owned();
        self.roots.add(certificate).context(BadRootSnafu)?;
        Ok(self)
    }

    /// Trusts an anchor.
    pub fn trust_anchor(mut self, anchor: TrustAnchor<'static>) -> ClientBuilder {
        self.roots.roots.push(anchor);
        self
    }

    /// Sets the address from which flows are opened; by default any port of any interface.
    pub fn local_address(mut self, address: SocketAddr) -> ClientBuilder {
        self.local_address = address;
        self
    }

    /// Sets the time without any packet after which a flow is given up; 30 s by default.
    pub fn idle_timeout(mut self, idle: Duration) -> ClientBuilder {
        self.idle_timeout = idle;
        self
    }

    /// Sets the interval of packets that keep an idle flow open; 5 s by default, `None` for none.
    pub fn keep_alive(mut self, interval: Option<Duration>) -> ClientBuilder {
        self.keep_alive = interval;
        self
    }

    /// Sets the limit of a handshake; 5 s by default.
    pub fn handshake_timeout(mut self, limit: Duration) -> ClientBuilder {
        self.handshake_timeout = limit;
        self
    }

    /// Opens the local address.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] that names the setting that can't be used.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn build(&self) -> Result<CallerClient, ClientError> {
        let config = self.client_config()?;
        let address = self.local_address;
        let mut endpoint = quinn::Endpoint::client(address).context(BadAddressSnafu { address })?;
        endpoint.set_default_client_config(config);
        Ok(CallerClient {
            endpoint,
            server_name: self.server_name.clone(),
            handshake_timeout: self.handshake_timeout,
        })
    }

    fn client_config(&self) -> Result<quinn::ClientConfig, ClientError> {
        ensure!(!self.roots.is_empty(), NoRootSnafu);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(BadTlsSnafu)?
            .with_root_certificates(self.roots.clone())
            .with_no_client_auth();
        tls.alpn_protocols = vec![ALPN_H3.to_vec()];
        let crypto = QuicClientConfig::try_from(tls).context(BadCipherSnafu)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(Arc::new(self.transport_config()?));
        Ok(config)
    }

    fn transport_config(&self) -> Result<quinn::TransportConfig, ClientError> {
        let idle = self.idle_timeout;
        let timeout = quinn::IdleTimeout::try_from(idle);
        let timeout = timeout.map_err(|_| BadIdleSnafu { idle }.build())?;
        let mut transport = quinn::TransportConfig::default();
        transport.max_idle_timeout(Some(timeout));
        transport.keep_alive_interval(self.keep_alive);
        Ok(transport)
    }
}

/// A local UDP address from which flows are opened.
#[derive(Clone, Debug)]
pub struct CallerClient {
    endpoint: quinn::Endpoint,
    server_name: CompactString,
    handshake_timeout: Duration,
}

impl CallerClient {
    /// Starts a client of the service whose certificate carries `server_name`.
    pub fn builder(server_name: impl Into<CompactString>) -> ClientBuilder {
        ClientBuilder {
            roots: RootCertStore::empty(),
            server_name: server_name.into(),
            local_address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            idle_timeout: DEFAULT_IDLE,
            keep_alive: Some(DEFAULT_KEEP_ALIVE),
            handshake_timeout: DEFAULT_HANDSHAKE,
        }
    }

    /// Opens a flow to the service at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`CallerError::Refused`], [`CallerError::HandshakeTimeout`] or
    /// [`CallerError::HandshakeFailed`].
    pub async fn connect(&self, address: SocketAddr) -> Result<CallerFlow, CallerError> {
        let limit = self.handshake_timeout;
        let timeout = HandshakeTimeoutSnafu {
            address,
            after_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        };
        match tokio::time::timeout(limit, self.open(address)).await {
            Ok(result) => result,
            Err(_) => timeout.fail(),
        }
    }

    /// Waits until the peers know of closed flows, but no longer than `limit`.
    pub async fn wait_idle(&self, limit: Duration) {
        // Flows that are still open at the limit are closed when their last handle is dropped.
        let _ = tokio::time::timeout(limit, self.endpoint.wait_idle()).await;
    }

    async fn open(&self, address: SocketAddr) -> Result<CallerFlow, CallerError> {
        let connecting = self.endpoint.connect(address, &self.server_name);
        let connecting = connecting.map_err(|error| {
            HandshakeFailedSnafu {
                address,
                reason: error.to_string(),
            }
            .build()
        })?;
        let connection = connecting
            .await
            .map_err(|error| handshake_error(address, self.handshake_timeout, &error))?;
        CallerFlow::start(connection, self.server_name.clone()).await
    }
}

/// Names the reason why a handshake failed.
fn handshake_error(address: SocketAddr, limit: Duration, error: &ConnectionError) -> CallerError {
    match error {
        ConnectionError::ConnectionClosed(close)
            if close.error_code == TransportErrorCode::CONNECTION_REFUSED =>
        {
            RefusedSnafu { address }.build()
        }
        ConnectionError::TimedOut => HandshakeTimeoutSnafu {
            address,
            after_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        }
        .build(),
        other => HandshakeFailedSnafu {
            address,
            reason: other.to_string(),
        }
        .build(),
    }
}
