package org.bronzewheel.quarantine;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Encodes and decodes evidence for peers, in the format of these protobuf messages:
 *
 * <pre>{@code
 * message Evidence { repeated Part parts = 1; }
 * message Part { string id = 1; bool survived = 2; repeated Crash crashes = 3; }
 * message Crash { string life = 1; int64 age_millis = 2; bool refuted = 3; }
 * }</pre>
 *
 * <p>Times are sent as ages, as routers do not share a clock. Entries out of range are skipped.
 */
final class EvidenceCodec {
    private static final int MAX_PARTS = 100;
    private static final int MAX_CRASHES = 32;
    private static final int MAX_LIFE_CHARACTERS = 250;
    private static final long MAX_AGE_MILLIS = TimeUnit.DAYS.toMillis(1);

    private static final int PARTS = 1;
    private static final int PART_ID = 1;
    private static final int SURVIVED = 2;
    private static final int CRASHES = 3;
    private static final int LIFE = 1;
    private static final int AGE_MILLIS = 2;
    private static final int REFUTED = 3;

    private EvidenceCodec() {}

    /** Writes the fields of a message. */
    @FunctionalInterface
    private interface Fields {
        void write(CodedOutputStream out) throws IOException;
    }

    /** Reads one field of a message; the tag is that of the field. */
    @FunctionalInterface
    private interface FieldReader {
        boolean read(int tag, CodedInputStream in) throws IOException;
    }

    static byte[] encode(List<PartEvidence> evidence, long nowMillis) {
        return message(
                out -> {
                    for (PartEvidence part : evidence) {
                        out.writeByteArray(PARTS, encode(part, nowMillis));
                    }
                });
    }

    private static byte[] encode(PartEvidence part, long nowMillis) {
        return message(
                out -> {
                    out.writeString(PART_ID, part.partId());
                    out.writeBool(SURVIVED, part.survived());
                    for (EngineCrash crash : part.crashes()) {
                        out.writeByteArray(CRASHES, encode(crash, nowMillis));
                    }
                });
    }

    private static byte[] encode(EngineCrash crash, long nowMillis) {
        return message(
                out -> {
                    out.writeString(LIFE, crash.life());
                    out.writeInt64(AGE_MILLIS, Math.max(0, nowMillis - crash.atMillis()));
                    out.writeBool(REFUTED, crash.refuted());
                });
    }

    private static byte[] message(Fields fields) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            fields.write(out);
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to memory", e);
        }
    }

    static List<PartEvidence> decode(byte[] bytes, long nowMillis)
            throws InvalidProtocolBufferException {
        List<PartEvidence> parts = new ArrayList<>();
        read(
                bytes,
                (tag, in) -> {
                    if (tag != lengthDelimited(PARTS)) {
                        return false;
                    }
                    PartEvidence part = decodePart(in.readByteArray(), nowMillis);
                    if (isValid(part) && parts.size() < MAX_PARTS) {
                        parts.add(part);
                    }
                    return true;
                });
        return parts;
    }

    private static boolean isValid(PartEvidence part) {
        return !part.partId().isEmpty()
                && part.partId().length() <= PromptQuarantine.MAX_ID_CHARACTERS;
    }

    private static PartEvidence decodePart(byte[] bytes, long nowMillis)
            throws InvalidProtocolBufferException {
        String[] id = {""};
        boolean[] survived = new boolean[1];
        List<EngineCrash> crashes = new ArrayList<>();
        read(
                bytes,
                (tag, in) -> {
                    if (tag == lengthDelimited(PART_ID)) {
                        id[0] = in.readString();
                    } else if (tag == varint(SURVIVED)) {
                        survived[0] = in.readBool();
                    } else if (tag == lengthDelimited(CRASHES)) {
                        EngineCrash crash = decodeCrash(in.readByteArray(), nowMillis);
                        if (isValid(crash, nowMillis) && crashes.size() < MAX_CRASHES) {
                            crashes.add(crash);
                        }
                    } else {
                        return false;
                    }
                    return true;
                });
        return new PartEvidence(id[0], survived[0], crashes);
    }

    private static boolean isValid(EngineCrash crash, long nowMillis) {
        return !crash.life().isEmpty()
                && crash.life().length() <= MAX_LIFE_CHARACTERS
                && crash.atMillis() <= nowMillis
                && crash.atMillis() >= nowMillis - MAX_AGE_MILLIS;
    }

    private static EngineCrash decodeCrash(byte[] bytes, long nowMillis)
            throws InvalidProtocolBufferException {
        String[] life = {""};
        long[] ageMillis = new long[1];
        boolean[] refuted = new boolean[1];
        read(
                bytes,
                (tag, in) -> {
                    if (tag == lengthDelimited(LIFE)) {
                        life[0] = in.readString();
                    } else if (tag == varint(AGE_MILLIS)) {
                        ageMillis[0] = in.readInt64();
                    } else if (tag == varint(REFUTED)) {
                        refuted[0] = in.readBool();
                    } else {
                        return false;
                    }
                    return true;
                });
        boolean inRange = ageMillis[0] >= 0 && ageMillis[0] <= MAX_AGE_MILLIS;
        return new EngineCrash(inRange ? life[0] : "", nowMillis - ageMillis[0], refuted[0]);
    }

    private static void read(byte[] bytes, FieldReader reader)
            throws InvalidProtocolBufferException {
        try {
            CodedInputStream in = CodedInputStream.newInstance(bytes);
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                if (!reader.read(tag, in) && !in.skipField(tag)) {
                    return;
                }
            }
        } catch (InvalidProtocolBufferException e) {
            throw e;
        } catch (IOException e) {
            throw new InvalidProtocolBufferException(e);
        }
    }

    private static int lengthDelimited(int field) {
        return tag(field, WireFormat.WIRETYPE_LENGTH_DELIMITED);
    }

    private static int varint(int field) {
        return tag(field, WireFormat.WIRETYPE_VARINT);
    }

    private static int tag(int field, int type) {
        return field << 3 | type;
    }
}
