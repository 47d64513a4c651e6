package org.bronzewheel.hedging;

/**
 * A budget for the extra cost of hedges: a percentage of the cost of regular calls accumulates up
 * to a bound.
 */
public final class ExtraCostBudget {
    private static final double PERCENT = 100;

    private final int extraCostPercent;
    private final double maxBalance;
    private double balance;

    /**
     * Creates a budget that starts at half of its bound.
     *
     * @param extraCostPercent the extra cost allowed, as a percentage of regular cost
     * @param maxBalance the maximum balance, in worker nanoseconds
     */
    public ExtraCostBudget(int extraCostPercent, double maxBalance) {
        this.extraCostPercent = extraCostPercent;
        this.maxBalance = maxBalance;
        this.balance = extraCostPercent == 0 ? 0 : maxBalance / 2;
    }

    /**
     * Adds the allowance that a regular call earns.
     *
     * @param cost the cost in worker nanoseconds
     */
    public void deposit(double cost) {
        balance = Math.min(maxBalance, balance + cost * extraCostPercent / PERCENT);
    }

    /**
     * Withdraws the cost of an extra call if the balance covers it.
     *
     * @param cost the cost in worker nanoseconds
     * @return whether the extra call may be made
     */
    public boolean tryWithdraw(double cost) {
        if (balance < cost) {
            return false;
        }
        balance -= cost;
        return true;
    }

    /**
     * Returns the unused cost of an extra call to the budget.
     *
     * @param cost the cost in worker nanoseconds
     */
    public void refund(double cost) {
        balance = Math.min(maxBalance, balance + cost);
    }
}
