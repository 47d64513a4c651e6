package org.bronzewheel.document;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compression of document contents. */
public final class Gzip {
    private Gzip() {}

    /**
     * Compresses bytes.
     *
     * @param bytes the bytes
     * @return their gzip form
     */
    public static ByteString compress(byte[] bytes) {
        ByteString.Output out = ByteString.newOutput();
        try (OutputStream gzip = new GZIPOutputStream(out)) {
            gzip.write(bytes);
        } catch (IOException e) {
            // Writing to memory does not fail.
            throw new UncheckedIOException(e);
        }
        return out.toByteString();
    }

    /**
     * Expands bytes.
     *
     * @param compressed the gzip form
     * @param maxBytes the largest result, in bytes
     * @return the bytes
     * @throws IOException where the form is broken or the result would be too large
     */
    public static byte[] expand(ByteString compressed, int maxBytes) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(compressed.newInput())) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new IOException("the expanded document exceeds " + maxBytes + " bytes");
            }
            return bytes;
        }
    }
}
