//! Files of the demo's deployment.

use std::path::PathBuf;

use compact_str::CompactString;
use tempfile::TempDir;

use crate::demo_error::DemoError;

/// Files of the deployment in a temporary folder, which is removed on drop.
pub(super) struct DemoFiles {
    folder: TempDir,
    certificate: CompactString,
    secret: [u8; 32],
}

impl DemoFiles {
    /// Writes a self-signed certificate for `server_name`, its key and a random bootstrap secret.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Certificate`] or [`DemoError::Files`].
    pub(super) fn create(server_name: &str) -> Result<DemoFiles, DemoError> {
        let signed = rcgen::generate_simple_self_signed([server_name.to_owned()])?;
        let files = DemoFiles {
            folder: TempDir::with_prefix("carobdrum-demo-")?,
            certificate: signed.cert.pem().into(),
            secret: rand::random(),
        };
        std::fs::write(files.certificate_file(), files.certificate.as_bytes())?;
        std::fs::write(files.key_file(), signed.signing_key.serialize_pem())?;
        let digits = files.secret.iter().map(|byte| format!("{byte:02x}"));
        let digits: String = digits.collect();
        std::fs::write(files.secret_file(), digits)?;
        Ok(files)
    }

    /// Returns the certificate, in PEM.
    pub(super) fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the bootstrap secret.
    pub(super) fn secret(&self) -> &[u8; 32] {
        &self.secret
    }

    /// Returns the path of the certificate.
    pub(super) fn certificate_file(&self) -> PathBuf {
        self.folder.path().join("certificate.pem")
    }

    /// Returns the path of the private key.
    pub(super) fn key_file(&self) -> PathBuf {
        self.folder.path().join("key.pem")
    }

    /// Returns the path of the bootstrap secret.
    pub(super) fn secret_file(&self) -> PathBuf {
        self.folder.path().join("secret")
    }
}
