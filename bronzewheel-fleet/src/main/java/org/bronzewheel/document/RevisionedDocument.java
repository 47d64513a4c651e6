package org.bronzewheel.document;

import com.google.protobuf.ByteString;

/**
 * A document as sent between routers.
 *
 * @param version its version
 * @param content its text, compressed
 */
public record RevisionedDocument(DocumentVersion version, ByteString content) {}
