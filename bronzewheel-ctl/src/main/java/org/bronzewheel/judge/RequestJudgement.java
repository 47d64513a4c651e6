package org.bronzewheel.judge;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.standin.ExpectedAnswers;
import org.bronzewheel.standin.Run;
import org.bronzewheel.traffic.PlannedRequest;
import org.bronzewheel.traffic.Reply;
import org.bronzewheel.traffic.ReplyKind;
import org.bronzewheel.traffic.RequestResult;
import org.bronzewheel.traffic.SendLine;
import org.bronzewheel.traffic.TokenPiece;

/** The judgement of one request. */
final class RequestJudgement {
    private final PlannedRequest request;
    private final List<SendLine> lines;
    private final Pipeline pipeline;
    private final JsonNode expected;
    private final RunIndex index;
    private final List<Violation> violations = new ArrayList<>();
    private final Set<Finding> findings = new HashSet<>();
    private int runsOverOne;

    RequestJudgement(RequestResult result, Pipeline pipeline, JsonNode expected, RunIndex index) {
        this.request = result.request();
        this.lines = result.lines();
        this.pipeline = pipeline;
        this.expected = expected;
        this.index = index;
        judgeReplies();
        judgeAnswersAgainstEachOther();
        judgeRuns();
    }

    List<Violation> violations() {
        return violations;
    }

    ClassCounts counts() {
        boolean misrouted = findings.contains(Finding.MISROUTED);
        boolean lost = findings.contains(Finding.LOST);
        Outcome end = misrouted || lost ? null : end();
        return new ClassCounts(
                1,
                count(end == Outcome.ANSWERED),
                count(end == Outcome.NOT_RUN),
                count(end == Outcome.FAILED),
                count(end == Outcome.UNKNOWN),
                count(lost),
                count(findings.contains(Finding.DOUBLED)),
                count(misrouted),
                runsOverOne,
                count(findings.contains(Finding.NOT_RUN_BUT_RAN)),
                count(end == Outcome.ANSWERED && isInTime()));
    }

    private static int count(boolean condition) {
        return condition ? 1 : 0;
    }

    private void found(Finding finding, String detail) {
        findings.add(finding);
        String where = request.kind().requestClass() + ":" + request.kind().pipeline();
        violations.add(new Violation(finding, request.nonce(), where + ": " + detail));
    }

    /** Returns the best end among the lines; a caller with any answer has its answer. */
    private Outcome end() {
        List<Outcome> ends = lines.stream().map(RequestJudgement::end).toList();
        for (Outcome best :
                List.of(Outcome.ANSWERED, Outcome.UNKNOWN, Outcome.FAILED, Outcome.NOT_RUN)) {
            if (ends.contains(best)) {
                return best;
            }
        }
        return null;
    }

    /** A send that did not run tells nothing of an earlier one that may have run. */
    private static Outcome end(SendLine line) {
        Outcome last = end(line.last());
        boolean mayHaveRun =
                line.replies().stream().anyMatch(reply -> end(reply) == Outcome.UNKNOWN);
        return last == Outcome.NOT_RUN && mayHaveRun ? Outcome.UNKNOWN : last;
    }

    private static Outcome end(Reply reply) {
        return switch (reply.kind()) {
            case NOT_CONNECTED -> Outcome.NOT_RUN;
            case BROKEN -> Outcome.UNKNOWN;
            case SILENT -> null;
            case COMPLETE -> reply.outcome();
        };
    }

    private boolean isInTime() {
        return lines.stream()
                .anyMatch(
                        line ->
                                line.last().isAnswered()
                                        && line.latencyMillis() <= request.deadlineMillis());
    }

    private void judgeReplies() {
        for (SendLine line : lines) {
            line.replies().forEach(this::judgeReply);
        }
    }

    private void judgeReply(Reply reply) {
        if (reply.kind() == ReplyKind.SILENT) {
            found(Finding.LOST, "no outcome from " + reply.router());
        }
        if (reply.kind() != ReplyKind.COMPLETE) {
            return;
        }
        if (reply.outcome() == null) {
            found(Finding.LOST, "a reply without outcome from " + reply.router());
        } else if (reply.isAnswered()) {
            judgeAnswer(reply);
        } else if (reply.outcome() == Outcome.NOT_RUN) {
            judgeNotRun(reply);
        }
    }

    private void judgeAnswer(Reply reply) {
        JsonNode answer = reply.body().path("answer");
        String nonce = ExpectedAnswers.nonce(answer);
        if (!nonce.isEmpty() && !nonce.equals(request.nonce())) {
            found(Finding.MISROUTED, "got the answer of " + nonce);
        } else if (!answer.equals(expected)) {
            found(Finding.LOST, "the answer is not whole");
        } else if (!reply.pieces().isEmpty()) {
            judgePieces(reply, expected.path("text").asText());
        }
    }

    private void judgePieces(Reply reply, String text) {
        StringBuilder joined = new StringBuilder();
        long tokens = 0;
        for (TokenPiece piece : reply.pieces()) {
            if (piece.offset() < tokens) {
                found(Finding.DOUBLED, "token " + piece.offset() + " came twice");
                return;
            }
            if (piece.offset() > tokens) {
                found(Finding.LOST, "tokens before " + piece.offset() + " are missing");
                return;
            }
            joined.append(piece.text());
            tokens += tokenCount(piece.text());
        }
        // Pieces may be of an earlier generating stage; then the answer has no text to compare.
        if (!text.isEmpty() && !joined.toString().equals(text)) {
            found(
                    Finding.LOST,
                    "the pieces don't join to the answer: "
                            + difference(joined.toString(), text, tokens));
        }
    }

    /** Tells pieces that are cut short from pieces of another text. */
    private static String difference(String joined, String text, long tokens) {
        if (text.startsWith(joined)) {
            return "they end after " + tokens + " tokens";
        }
        int same = 0;
        while (same < text.length() && joined.charAt(same) == text.charAt(same)) {
            same++;
        }
        return "they differ from character " + same + " on";
    }

    /** Counts the tokens of the stand-in engines, of which each but the first begins by a space. */
    private static long tokenCount(String text) {
        long spaces = text.chars().filter(c -> c == ' ').count();
        return text.startsWith(" ") ? spaces : spaces + 1;
    }

    private void judgeNotRun(Reply reply) {
        List<Run> runs = index.ofRequestId(reply.requestId());
        if (!runs.isEmpty()) {
            found(
                    Finding.NOT_RUN_BUT_RAN,
                    "%s said %s, but %s ran"
                            .formatted(reply.requestId(), reply.code(), runs.get(0).attemptId()));
        }
    }

    private void judgeAnswersAgainstEachOther() {
        Set<JsonNode> bodies = new HashSet<>();
        for (SendLine line : lines) {
            if (line.last().isAnswered()) {
                bodies.add(line.last().body());
            }
        }
        if (bodies.size() > 1) {
            found(Finding.DOUBLED, "two sends under one key got different answers " + bodies);
        }
    }

    private void judgeRuns() {
        List<Run> runs = index.ofNonce(request.nonce());
        Set<String> requestIds = new TreeSet<>();
        int[] runsByStage = new int[pipeline.stages().size()];
        for (Run run : runs) {
            requestIds.add(run.requestId());
            if (!run.workspace().equals(request.workspace())) {
                found(Finding.MISROUTED, "ran for workspace " + run.workspace());
            }
            int stageIndex = RunIndex.stageIndex(run);
            if (stageIndex >= 0 && stageIndex < runsByStage.length) {
                runsByStage[stageIndex]++;
            }
        }
        if (!request.idempotencyKey().isEmpty() && requestIds.size() > 1) {
            found(Finding.DOUBLED, "requests " + requestIds + " ran under one key");
        }
        for (int i = 0; i < runsByStage.length; i++) {
            if (!pipeline.stages().get(i).idempotent() && runsByStage[i] > 1) {
                runsOverOne += runsByStage[i] - 1;
                found(
                        Finding.NON_IDEMPOTENT_RUN_OVER_ONE,
                        pipeline.stages().get(i).name() + " ran " + runsByStage[i] + " times");
            }
        }
    }
}
