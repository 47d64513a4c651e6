package org.bronzewheel.standin;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.request.Usage;

/** One completion in an engine's batch, from its arrival to its end. */
final class Sequence {
    private static final long CHUNK_MICROS = 10_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final EngineStandIn engine;
    private final CompletionCall call;
    private final Fate fate;
    private final List<String> tokens;
    private final List<SequenceReader> readers = new ArrayList<>();
    private Runnable endListener = () -> {};
    private WorkQueue.Ticket ticket;
    private Usage usage = Usage.NONE;
    private int run;
    private int generated;
    private long startedAtMillis;
    private boolean started;
    private boolean ended;
    private boolean cancelled;

    Sequence(EngineStandIn engine, CompletionCall call, Fate fate) {
        this.engine = engine;
        this.call = call;
        this.fate = fate;
        this.tokens = ExpectedAnswers.tokens(call.model(), call.prompt(), call.maxTokens());
    }

    void submit() {
        ticket = engine.queue().submit(call.priority(), this::begin);
    }

    String echoedAttemptId() {
        return fate == Fate.WRONG_ECHO ? engine.otherThan(this).call.attemptId() : call.attemptId();
    }

    synchronized void onEnd(Runnable listener) {
        endListener = listener;
    }

    synchronized void addReader(SequenceReader reader) {
        readers.add(reader);
        reader.advance();
    }

    /** Returns the generated text from a token on, in pieces of one token. */
    synchronized List<String> generatedFrom(int offset) {
        return List.copyOf(tokens.subList(Math.min(offset, generated), generated));
    }

    synchronized boolean isEnded() {
        return ended;
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    synchronized Usage usage() {
        return usage;
    }

    String finishReason() {
        return tokens.size() < call.maxTokens() ? "stop" : "length";
    }

    private synchronized void begin() {
        started = true;
        startedAtMillis = System.currentTimeMillis();
        run = engine.startRun(call.headers(), ExpectedAnswers.parse(call.prompt()));
        long promptMicros = engine.promptMicros(call.prompt());
        schedule(promptMicros / MICROS_PER_MILLI + engine.delayMillis());
    }

    private void schedule(long delayMillis) {
        engine.vertx().setTimer(Math.max(1, delayMillis), timer -> generate());
    }

    private synchronized void generate() {
        if (ended) {
            return;
        }
        long tokenMicros = Math.max(1, engine.tokenMicros());
        int chunk = (int) Math.max(1, CHUNK_MICROS / tokenMicros);
        generated = Math.min(tokens.size(), generated + chunk);
        if (generated == tokens.size()) {
            end(fate == Fate.FAIL ? RunState.FAILED : RunState.FINISHED);
        } else {
            advanceReaders();
            schedule(chunk * tokenMicros / MICROS_PER_MILLI);
        }
    }

    /** Ends the sequence without a result; false where it has ended. */
    synchronized boolean cancel() {
        if (ended) {
            return false;
        }
        cancelled = true;
        if (!started) {
            engine.queue().withdraw(ticket);
        }
        end(RunState.CANCELLED);
        return true;
    }

    private void end(RunState state) {
        ended = true;
        if (started) {
            long workerMillis = System.currentTimeMillis() - startedAtMillis;
            usage = new Usage(ExpectedAnswers.promptTokens(call.prompt()), generated, workerMillis);
            engine.endRun(run, state, usage);
            engine.queue().release();
        }
        advanceReaders();
        endListener.run();
    }

    private void advanceReaders() {
        readers.forEach(SequenceReader::advance);
        readers.removeIf(SequenceReader::isClosed);
    }
}
