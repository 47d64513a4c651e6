package org.bronzewheel.relay;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.configuration.InvalidConfigurationException;
import org.bronzewheel.document.CheckedDocument;
import org.bronzewheel.document.DocumentVersion;
import org.bronzewheel.document.Gzip;
import org.bronzewheel.document.RevisionedDocument;
import org.bronzewheel.wire.PublishedConfiguration;

/** Converts the configuration to and from the form in which routers relay it. */
final class ConfigurationCodec {
    private ConfigurationCodec() {}

    static RevisionedDocument toDocument(ConfigurationDocument document) {
        byte[] bytes =
                PublishedConfiguration.newBuilder()
                        .setInventory(document.inventoryText())
                        .setRules(document.rulesText())
                        .build()
                        .toByteArray();
        return new RevisionedDocument(
                new DocumentVersion(document.revision(), document.digest()), Gzip.compress(bytes));
    }

    static CheckedDocument<Configuration> check(
            RevisionedDocument document, ConfigurationParser parser, int maxBytes) {
        ConfigurationDocument texts;
        try {
            texts = texts(document, maxBytes);
        } catch (IOException e) {
            return CheckedDocument.corrupt();
        }
        if (!texts.digest().equals(document.version().digest())) {
            return CheckedDocument.corrupt();
        }
        try {
            return CheckedDocument.valid(parser.parse(texts));
        } catch (InvalidConfigurationException e) {
            return CheckedDocument.invalid(e.getMessage());
        }
    }

    private static ConfigurationDocument texts(RevisionedDocument document, int maxBytes)
            throws IOException {
        byte[] bytes = Gzip.expand(document.content(), maxBytes);
        PublishedConfiguration wire = parse(bytes);
        return new ConfigurationDocument(
                document.version().revision(), wire.getInventory(), wire.getRules());
    }

    private static PublishedConfiguration parse(byte[] bytes)
            throws InvalidProtocolBufferException {
        return PublishedConfiguration.parseFrom(bytes);
    }
}
