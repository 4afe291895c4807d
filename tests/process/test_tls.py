"""TLS on the caller port."""

import http.client
import os
import pathlib
import ssl
import subprocess
import tempfile
import unittest

from support import Caller, ProcessTest


class TlsTest(ProcessTest):
    hosts = {"catalogo": 2, "cobros": 1, "galeria": 1, "cereria": 1}

    def setUp(self):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="pollenwick-tls-"))
        files = {"POLLENWICK_TLS_CERTIFICATE": folder / "certificate.pem",
                 "POLLENWICK_TLS_KEY": folder / "key.pem"}
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2",
                        "-subj", "/CN=127.0.0.1", "-addext", "subjectAltName=IP:127.0.0.1",
                        "-out", files["POLLENWICK_TLS_CERTIFICATE"],
                        "-keyout", files["POLLENWICK_TLS_KEY"]],
                       check=True, capture_output=True)
        self.certificate = files["POLLENWICK_TLS_CERTIFICATE"]
        for name, path in files.items():
            os.environ[name] = str(path)
            self.addCleanup(os.environ.pop, name)
        super().setUp()

    def test_callers_are_served_over_tls_only(self):
        """Guards against a node with a certificate that serves plain HTTP, and
        against TLS settings that are accepted but not applied."""
        host = self.deployment.host("catalogo-1")
        context = ssl.create_default_context(cafile=str(self.certificate))
        caller = Caller(host.caller, self.key)
        caller.connection = http.client.HTTPSConnection(host.caller, timeout=10, context=context)
        status, headers, body = caller.send("/catalogo/stock?bytes=5000", "tls-1")
        self.assertEqual((status, headers["Pollenwick-Outcome"]), (200, "done"))
        self.assertEqual(len(body), 5000)
        status, _, _ = caller.send("/cobros/deposit?bytes=10", "tls-2", "one deposit")
        self.assertEqual(status, 200)
        caller.close()
        plain = Caller(host.caller, self.key)
        with self.assertRaises((http.client.HTTPException, OSError)):
            plain.send("/catalogo/stock", "plain-1")
        plain.close()
        self.assertEqual(self.records()["cobros/deposit"]["tls-2"], 1)


if __name__ == "__main__":
    unittest.main()
